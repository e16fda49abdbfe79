// Package succession decides which instance is to own a cell.
//
// It answers a deployment of unlike VMs: the owner's work grows with the
// workers and the starts, most VMs have too little processor or too narrow a
// link for it at a crest, and an owner that is always behind makes all work
// late.
package succession

import "time"

const (
	// RequiredCores is the share of a core that an owner needs. It is what one used
	// with 350 workers.
	RequiredCores = 0.4
	// perWorker is what an owner sends or receives for one worker at a crest, in
	// bytes a second; 350 workers take about 1 MB/s.
	perWorker = 3_000
	// linkShare is the part of its link that an owner may use. Above it, calls
	// wait behind each other at the link.
	linkShare = 0.5
	// spread separates the claims of equal instances that suspect the owner at
	// the same time.
	spread = 150 * time.Millisecond
	// weak is added for an instance that has not enough. It covers the spread, and
	// as much again by which instances notice the owner's end at different
	// moments, so that one that has enough goes first.
	weak = 2 * spread
	// weakest is added on top for the smallest instances. The sum of the three
	// stays below the slack of urgent work, 600 ms.
	weakest = 140 * time.Millisecond
	// settle is how long a weak owner, and the link to an instance with enough,
	// must have lasted for the owner to make way. It bounds the changes of owner
	// while instances restart in turn.
	settle = 3 * time.Second
)

// VM is what an instance has of what an owner needs.
type VM struct {
	Cores     float64 // processor
	Bandwidth int64   // of its link, in bytes a second; zero if it is not known
}

// share returns how much of an owner's need a VM covers, at most 1.
func (v VM) share(workers int) float64 {
	s := v.Cores / RequiredCores
	if v.Bandwidth > 0 && workers > 0 {
		s = min(s, float64(v.Bandwidth)*linkShare/float64(workers*perWorker))
	}
	return min(max(s, 0), 1)
}

// ClaimDelay returns how long an instance waits with its claim once it suspects
// the owner. Workers is how many the cell has, tie in [0,1) orders equal
// instances.
func ClaimDelay(v VM, workers int, tie float64) time.Duration {
	d := time.Duration(tie * float64(spread))
	if s := v.share(workers); s < 1 {
		d += weak + time.Duration((1-s)*float64(weakest))
	}
	return d
}

// ShouldHandOver reports whether an owner gives the cell up to another instance.
// Since and linked are how long they have been owner and reachable.
func ShouldHandOver(own, other VM, workers int, since, linked time.Duration) bool {
	return own.share(workers) < 1 && other.share(workers) == 1 && since >= settle && linked >= settle
}
