// Package succession decides which instance is to own a cell.
//
// It answers a deployment of unlike VMs: the owner's work grows with the
// workers and the starts, most VMs are too small for it at a crest, and an
// owner that is always behind makes all work late.
package succession

import "time"

const (
	// Enough is the share of a core that an owner needs. It is what one used
	// with 350 workers.
	Enough = 0.4
	// spread separates the claims of equal instances that suspect the owner at
	// the same time.
	spread = 150 * time.Millisecond
	// weakest is added for the smallest instances. It covers the spread and a
	// claim by an instance that has enough.
	weakest = 400 * time.Millisecond
	// settle is how long a weak owner, and the link to an instance with enough,
	// must have lasted for the owner to make way. It bounds the changes of owner
	// while instances restart in turn.
	settle = 3 * time.Second
)

// ClaimDelay returns how long an instance waits with its claim once the owner
// is gone. Cores is the processor that it has, tie in [0,1) orders equal
// instances.
func ClaimDelay(cores, tie float64) time.Duration {
	d := time.Duration(tie * float64(spread))
	if cores < Enough {
		d += time.Duration((1 - max(cores, 0)/Enough) * float64(weakest))
	}
	return d
}

// MakesWay reports whether an owner gives the cell up to another instance.
// Since and linked are how long they have been owner and reachable.
func MakesWay(cores, other float64, since, linked time.Duration) bool {
	return cores < Enough && other >= Enough && since >= settle && linked >= settle
}
