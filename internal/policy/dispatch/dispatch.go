// Package dispatch decides which instance makes the calls to a worker.
//
// It handles deployments of many VMs with narrow links. Each start carries its job's
// payload, and each worker reports on all its runs. With hundreds of workers that
// exceeds the link of one VM, but not the links of all instances together. An owner
// whose own link and processor suffice makes every call itself, which saves a hop.
package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// bytesPerWorker is the traffic of the calls to one worker in bytes a second, at
	// the daily peak with short tasks.
	bytesPerWorker = 3000
	// linkShare is the share of the owner's link that calls to workers may use. The
	// rest is for the store, the other instances and callers.
	linkShare = 0.5
	// coresPerWorker is the processor use of the calls to one worker: an owner of 350
	// workers used 0.4 of a core.
	coresPerWorker = 0.4 / 350
	// relayHysteresis is the share of these limits below which an owner that relays its
	// calls makes all of them itself again. It prevents a worker count near the limit
	// from moving the calls repeatedly.
	relayHysteresis = 0.8
	// ownerLinkShare is the weight of the owner's link relative to those of other
	// instances. The owner's link also carries the appends to the store.
	ownerLinkShare = 0.25
	// relayReserve times the calls to all workers is what the chosen instances can carry
	// together. It covers the crest of a day and the loss of a data centre with half of
	// them.
	relayReserve = 4
	// minRelays is the least number of instances that relay calls, so that the loss of
	// one concerns few workers.
	minRelays = 12
	// defaultBandwidth is assumed for a link of unknown rate, in bytes a second.
	defaultBandwidth = 1_000_000_000 / 8
)

// Instance is an instance that can make calls.
type Instance struct {
	Name      string
	Cores     float64 // available processor; zero if unknown
	Bandwidth int64   // of its link, in bytes a second; zero if unknown
}

// NeedsRelay reports whether an owner is to make its calls through other instances.
// Relaying says whether it does at present.
func NeedsRelay(owner Instance, workers int, relaying bool) bool {
	factor := 1.0
	if relaying {
		factor = relayHysteresis
	}
	link, cores := float64(workers)*bytesPerWorker, float64(workers)*coresPerWorker
	return owner.Bandwidth > 0 && link > factor*linkShare*float64(owner.Bandwidth) || owner.Cores > 0 && cores > factor*owner.Cores
}

// capacity returns the number of workers to which an instance can make the calls.
func capacity(i Instance) float64 {
	n := linkShare * bandwidthOf(i) / bytesPerWorker
	if i.Cores > 0 {
		n = min(n, i.Cores/coresPerWorker)
	}
	return n
}

// Relays returns the instances that relay calls, the largest ones first: as many as the
// calls to the given number of workers need, with a reserve. The owner sends one message
// for all calls that an instance gets within some milliseconds, so that its cost grows
// with the number of relays, and small instances make calls slowly. It reorders others.
func Relays(others []Instance, workers int) []Instance {
	slices.SortFunc(others, func(a, b Instance) int {
		return cmp.Or(-cmp.Compare(capacity(a), capacity(b)), cmp.Compare(a.Name, b.Name))
	})
	sum := 0.0
	for i := range others {
		if sum += capacity(others[i]); sum >= relayReserve*float64(workers) && i+1 >= minRelays {
			return others[:i+1]
		}
	}
	return others
}

// Choose returns the name of the instance that makes the calls to a worker: the owner
// or one of the others. Workers are distributed in proportion to the links' rates. The
// choice for a worker changes only when the chosen instance is gone, or when a new one
// takes its share. The instance named avoid is chosen only if there is no other.
func Choose(w model.WorkerName, owner Instance, others []Instance, avoid string) string {
	best, least := owner.Name, math.Inf(1)
	if owner.Name != avoid {
		least = score(w, owner.Name, ownerLinkShare*bandwidthOf(owner))
	}
	for i := range others {
		if others[i].Name == avoid {
			continue
		}
		if c := score(w, others[i].Name, bandwidthOf(others[i])); c < least {
			best, least = others[i].Name, c
		}
	}
	return best
}

func bandwidthOf(i Instance) float64 {
	if i.Bandwidth <= 0 {
		return defaultBandwidth
	}
	return float64(i.Bandwidth)
}

// score is the score of an instance for a worker in weighted rendezvous hashing; the
// lowest wins. It is an exponentially distributed time with the given rate: the least
// of several such times falls on each instance in proportion to its rate, independently
// of the others.
func score(w model.WorkerName, instance string, bandwidth float64) float64 {
	h := xxhash.Sum64String(string(w) + "\x00" + instance)
	u := (float64(h>>11) + 1) / (1 << 53) // in (0,1]
	return -math.Log(u) / bandwidth
}
