package core

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/model"
)

// hashParts hashes strings with a terminator after each, so that ("a","bc") and
// ("ab","c") differ.
func hashParts(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// homeOf returns the home data centre of a name by rendezvous hashing. Few names move
// when the list of data centres changes.
func homeOf(dcs []model.DataCentre, parts ...string) model.DataCentre {
	var best model.DataCentre
	var top uint64
	for _, dc := range dcs {
		h := hashParts(append([]string{string(dc)}, parts...)...)
		if best == "" || h > top || (h == top && dc < best) {
			best, top = dc, h
		}
	}
	return best
}

// homeOfJob returns the data centre that a job id names, or "" if the id is malformed.
func homeOfJob(id model.JobID) model.DataCentre {
	dc, _, ok := strings.Cut(string(id), "/")
	if !ok {
		return ""
	}
	return model.DataCentre(dc)
}

// keyedJobID returns the job id of a key. With two 64-bit hashes, a collision between
// two keys of a service is practically impossible.
func keyedJobID(dc model.DataCentre, service string, key model.Key) model.JobID {
	a := hashParts("a", service, string(key))
	b := hashParts("b", service, string(key))
	return model.JobID(string(dc) + "/k" + hex16(a) + hex16(b))
}

// newJobID returns a new id for a job without a key.
func (c *Core) newJobID(dc model.DataCentre) model.JobID {
	return model.JobID(string(dc) + "/" + c.nextID())
}

const hexDigits = "0123456789abcdef"

func hex16(v uint64) string {
	var b [16]byte
	for i := range b {
		b[15-i] = hexDigits[v&15]
		v >>= 4
	}
	return string(b[:])
}

// requestHash returns a hash of the content of a submission. It detects that a key is
// reused for a different request.
func requestHash(s model.Submission) uint64 {
	h := hashParts(s.Service, s.Operation, string(s.Key), string(s.Body))
	if h == 0 {
		return 1 // zero means unknown
	}
	return h
}
