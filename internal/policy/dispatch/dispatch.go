// Package dispatch decides which instance makes the calls to a worker.
//
// It answers a deployment of many VMs with narrow links. Each start carries its
// job's payload, and each worker answers for all its runs; with hundreds of
// workers one VM's link can't carry that, while the links of all together can.
// An owner whose own link and processor suffice makes every call itself, which
// takes one hop less.
package dispatch

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/model"
)

const (
	// bytesPerWorker is what the calls to one worker need of a link, in bytes a
	// second, at the crest of a day with short tasks.
	bytesPerWorker = 3000
	// linkShare of the owner's link may go to workers. The rest carries the store,
	// the other instances and callers.
	linkShare = 0.5
	// coresPerWorker is what the calls to one worker need of a processor: an owner
	// of 350 workers used 0.4 of a core.
	coresPerWorker = 0.4 / 350
	// comeBack is the share of these limits below which a dispatching owner makes
	// all calls itself again. The gap keeps a number of workers near the limit from
	// moving the calls again and again.
	comeBack = 0.8
	// ownShare is the share of the owner's link, beside those of other instances,
	// that counts for its own calls. It has the store's appends to carry.
	ownShare = 0.25
	// wideLink stands for a link whose rate is not known, in bytes a second.
	wideLink = 1_000_000_000 / 8
)

// Instance is an instance that can make calls.
type Instance struct {
	Name      string
	Cores     float64 // processor that it has; zero if unknown
	Bandwidth int64   // of its link, in bytes a second; zero if unknown
}

// NeedsRelay reports whether an owner is to make its calls through other instances.
// Now says whether it does at present.
func NeedsRelay(owner Instance, workers int, now bool) bool {
	slack := 1.0
	if now {
		slack = comeBack
	}
	link, cores := float64(workers)*bytesPerWorker, float64(workers)*coresPerWorker
	return owner.Bandwidth > 0 && link > slack*linkShare*float64(owner.Bandwidth) || owner.Cores > 0 && cores > slack*owner.Cores
}

// Choose returns the name of the instance that makes the calls to a worker: the
// owner or one of the others. Shares follow the links' rates. The choice for a
// worker changes only when the chosen instance is gone, or when a new one takes its
// share. The instance named avoid is not chosen if there is another one.
func Choose(w model.WorkerName, owner Instance, others []Instance, avoid string) string {
	best, least := owner.Name, math.Inf(1)
	if owner.Name != avoid {
		least = cost(w, owner.Name, ownShare*rate(owner))
	}
	for i := range others {
		if others[i].Name == avoid {
			continue
		}
		if c := cost(w, others[i].Name, rate(others[i])); c < least {
			best, least = others[i].Name, c
		}
	}
	return best
}

func rate(i Instance) float64 {
	if i.Bandwidth <= 0 {
		return wideLink
	}
	return float64(i.Bandwidth)
}

// cost is the time to the first event of a process of the given rate. The least
// of several such times falls on each in proportion to its rate, and does so
// independently of the others.
func cost(w model.WorkerName, instance string, rate float64) float64 {
	h := xxhash.Sum64String(string(w) + "\x00" + instance)
	u := (float64(h>>11) + 1) / (1 << 53) // in (0,1]
	return -math.Log(u) / rate
}
