// Package succession decides which instance is to own a cell.
//
// It handles deployments of unlike VMs. The owner's work grows with the number of
// workers and starts, and at peak load most VMs have too little processor or too narrow
// a link for it. An owner that is overloaded makes all work late.
package succession

import "time"

const (
	// RequiredCores is the share of a core that an owner needs. An owner used that much
	// with 350 workers.
	RequiredCores = 0.4
	// bytesPerWorker is what an owner sends or receives for one worker at peak load, in
	// bytes a second; 350 workers take about 1 MB/s.
	bytesPerWorker = 3_000
	// linkShare is the share of its link that an owner may use. Above it, calls queue
	// at the link.
	linkShare = 0.5
	// claimSpread separates the claims of equal instances that suspect the owner at the
	// same time.
	claimSpread = 150 * time.Millisecond
	// weakDelay is added for an instance that has less than an owner needs, so that an
	// instance with enough claims first. It covers claimSpread and an equal time by
	// which instances differ in detecting the owner's end.
	weakDelay = 2 * claimSpread
	// weakDelayRange is the range of an additional delay, which is longest for the
	// smallest instances. The sum of the three stays below the slack of urgent work,
	// 600 ms.
	weakDelayRange = 140 * time.Millisecond
	// settleTime is how long an underprovisioned owner, and its link to an instance
	// with enough resources, must have lasted before the owner hands over. It bounds
	// the changes of owner during a rolling restart.
	settleTime = 3 * time.Second
)

// VM describes the resources of an instance that an owner needs.
type VM struct {
	Cores     float64 // processor
	Bandwidth int64   // of its link, in bytes a second; zero if it is not known
}

// coverage returns the share of an owner's need that a VM has, at most 1.
func (v VM) coverage(workers int) float64 {
	s := v.Cores / RequiredCores
	if v.Bandwidth > 0 && workers > 0 {
		s = min(s, float64(v.Bandwidth)*linkShare/float64(workers*bytesPerWorker))
	}
	return min(max(s, 0), 1)
}

// ClaimDelay returns how long an instance waits before it claims the cell once it
// suspects the owner. Workers is the number of the cell's workers, and tie in [0,1)
// orders equal instances.
func ClaimDelay(v VM, workers int, tie float64) time.Duration {
	d := time.Duration(tie * float64(claimSpread))
	if s := v.coverage(workers); s < 1 {
		d += weakDelay + time.Duration((1-s)*float64(weakDelayRange))
	}
	return d
}

// ShouldHandOver reports whether an owner is to hand the cell over to another instance.
// Since is how long it has been the owner, and linked how long it has been connected to
// the other instance.
func ShouldHandOver(own, other VM, workers int, since, linked time.Duration) bool {
	return own.coverage(workers) < 1 && other.coverage(workers) == 1 && since >= settleTime && linked >= settleTime
}
