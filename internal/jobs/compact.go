package jobs

import (
	"encoding/binary"
	"fmt"
	"math/bits"
)

// The compact form of submissions and progress. The owner's link carries each
// entry once to the store and every other instance reads it, so that bytes
// count; and decoding JSON takes most of the processor time of a reader.
//
// It begins with a version, which no JSON text begins with, so that a reader
// tells the two apart. Numbers are varints, signed unless they count or index
// something. A field that usually has no value is there only if a bit says so.

const (
	// compactV1 is the version of the form below.
	compactV1 = 1
	// maxShared bounds the bytes that a name takes over from the one before it,
	// and with it the memory that a short malformed value can claim.
	maxShared = 32
	// nameWindow is how many of its newest names an encoder looks through. More
	// would cost wide jobs more time than the bytes are worth.
	nameWindow = 32
)

// states are the states in the order of their codes. New ones go at the end.
var states = [...]State{"", Queued, Running, Completed, Failed, Cancelled}

// Bits of a group's progress.
const (
	groupOccurrence = 1 << iota
	groupStep
	groupDone
	groupGang
	groupAll = 1<<iota - 1
)

// Bits of a task's progress. Its distance to the task before is above them.
const (
	taskHistory = 1 << iota // other than a first run without a failure
	taskWorker
	taskCheckpoint
	taskBits = iota
)

// Bits of a job.
const (
	jobSchedule = 1 << iota
	jobSubmitted
	jobAll = 1<<iota - 1
)

// Bits of a step.
const (
	stepEstimate = 1 << iota
	stepAfter
	stepGang
	stepCheckpoints
	stepOneRack
	stepMaxPerWorker
	stepLabel
	stepDataRack
	stepCopies
	stepLasting
	stepImage
	stepTailTarget
	stepFiller
	stepMayMiss
	stepAccelerators
	stepSlots
	stepConnections
	stepAll = 1<<iota - 1
)

// MalformedError reports a value in the compact form that is not as Encode
// writes it.
type MalformedError struct {
	Pos int // byte
	Msg string
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed at byte %d: %s", e.Pos, e.Msg) }

// isCompact reports whether a value is not JSON. A later version is not JSON
// either.
func isCompact(value []byte) bool {
	return len(value) > 0 && value[0] >= compactV1 && value[0] < '\t'
}

// encoder appends the compact form of values.
type encoder struct {
	out   []byte
	names []string // in the order of their first use
}

func (e *encoder) uint(v uint64) { e.out = binary.AppendUvarint(e.out, v) }

func (e *encoder) int(v int) { e.out = binary.AppendVarint(e.out, int64(v)) }

func (e *encoder) int64(v int64) { e.out = binary.AppendVarint(e.out, v) }

// text appends a string, one of hexadecimal digits in half of its length.
func (e *encoder) text(s string) {
	if !isHex(s) {
		e.uint(uint64(len(s)) << 1)
		e.out = append(e.out, s...)
		return
	}
	e.uint(uint64(len(s)/2)<<1 | 1)
	for i := 0; i < len(s); i += 2 {
		e.out = append(e.out, hexValue(s[i])<<4|hexValue(s[i+1]))
	}
}

// name appends a string that the value may hold more than once: its number
// among those that it has so far and, if it is new, what distinguishes it from
// the one before.
func (e *encoder) name(s string) {
	for at := len(e.names) - 1; at >= max(0, len(e.names)-nameWindow); at-- {
		if e.names[at] == s {
			e.uint(uint64(at))
			return
		}
	}
	last := ""
	if len(e.names) > 0 {
		last = e.names[len(e.names)-1]
	}
	e.uint(uint64(len(e.names)))
	e.names = append(e.names, s)
	shared := 0
	for shared < min(len(s), len(last), maxShared) && s[shared] == last[shared] {
		shared++
	}
	if shared > 0 && !isHex(s[shared:]) && isHex(s[shared-1:]) {
		shared-- // an even number of digits is left
	}
	e.uint(uint64(shared))
	e.text(s[shared:])
}

const hexDigits = "0123456789abcdef"

// isHex reports whether a string is an even number of lower-case digits.
func isHex(s string) bool {
	if len(s) == 0 || len(s)%2 != 0 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'a' + 10
}

func bit(on bool, mask uint64) uint64 {
	if on {
		return mask
	}
	return 0
}

// compactProgress returns the compact form of progress. It has none for a state
// that is not known, and for tasks that are not in the order of their numbers.
func compactProgress(p *Progress) ([]byte, bool) {
	code := -1
	for i, s := range states {
		if s == p.State {
			code = i
		}
	}
	if code < 0 {
		return nil, false
	}
	size := 16
	for i := range p.Groups {
		size += 16 + 10*len(p.Groups[i].Tasks)
	}
	e := encoder{out: make([]byte, 0, size)}
	e.out = append(e.out, compactV1, byte(code))
	e.int64(p.FinishedMs)
	e.uint(uint64(len(p.Groups)))
	for i := range p.Groups {
		if !e.group(&p.Groups[i]) {
			return nil, false
		}
	}
	return e.out, true
}

func (e *encoder) group(g *GroupProgress) bool {
	set := bit(g.Occurrence != 0, groupOccurrence) | bit(g.Step != 0, groupStep) | bit(g.Done.Count() > 0, groupDone) |
		bit(g.Run != 0 || g.Failures != 0 || g.FailedRun != 0, groupGang)
	e.uint(set)
	if set&groupOccurrence != 0 {
		e.int(g.Occurrence)
	}
	if set&groupStep != 0 {
		e.int(g.Step)
	}
	if set&groupDone != 0 {
		e.bitmap(g.Done)
	}
	if set&groupGang != 0 {
		e.int(g.Run)
		e.int(g.Failures)
		e.int(g.FailedRun)
	}
	e.uint(uint64(len(g.Tasks)))
	next := 0
	for i := range g.Tasks {
		t := &g.Tasks[i]
		if t.Index < next || t.Index > MaxTasks {
			return false
		}
		set := bit(t.Run != g.usualRun() || t.Failures != 0 || t.FailedRun != 0, taskHistory) |
			bit(t.Worker != "", taskWorker) | bit(t.Checkpoint != "", taskCheckpoint)
		e.uint(uint64(t.Index-next)<<taskBits | set)
		next = t.Index + 1
		if set&taskHistory != 0 {
			e.int(t.Run)
			e.int(t.Failures)
			e.int(t.FailedRun)
		}
		if set&taskWorker != 0 {
			e.name(string(t.Worker))
		}
		if set&taskCheckpoint != 0 {
			e.name(t.Checkpoint)
		}
	}
	return true
}

// usualRun returns the run number that most tasks of a group have: that of the
// gang, or the first.
func (g *GroupProgress) usualRun() int { return max(1, g.Run) }

// bitmap appends a set as bytes, the smallest numbers first.
func (e *encoder) bitmap(b Bitmap) {
	n := 0
	for i, w := range b.words {
		if w != 0 {
			n = 8*i + (bits.Len64(w)+7)/8
		}
	}
	e.uint(uint64(n))
	for i := range n {
		e.out = append(e.out, byte(b.words[i/8]>>(8*(i%8))))
	}
}

// compactJob returns the compact form of a submission.
func compactJob(j *Job) []byte {
	e := encoder{out: make([]byte, 0, 48+len(j.Payload)+24*len(j.Steps))}
	e.out = append(e.out, compactV1)
	e.text(string(j.ID))
	e.text(j.Queue)
	e.text(j.Payload)
	set := bit(j.Schedule != Schedule{}, jobSchedule) | bit(j.SubmittedMs != 0, jobSubmitted)
	e.uint(set)
	if set&jobSchedule != 0 {
		e.int(j.Schedule.Occurrences)
		e.int64(j.Schedule.FirstMs)
		e.int64(j.Schedule.IntervalMs)
	}
	if set&jobSubmitted != 0 {
		e.int64(j.SubmittedMs)
	}
	e.uint(uint64(len(j.Steps)))
	for i := range j.Steps {
		e.step(&j.Steps[i])
	}
	return e.out
}

func (e *encoder) step(s *Step) {
	set := bit(s.EstimateMs != 0, stepEstimate) | bit(len(s.After) > 0, stepAfter) | bit(s.Gang, stepGang) |
		bit(s.Checkpoints, stepCheckpoints) | bit(s.PreferOneRack, stepOneRack) | bit(s.MaxPerWorker != 0, stepMaxPerWorker) |
		bit(s.Label != "", stepLabel) | bit(s.DataRack != "", stepDataRack) | bit(s.Speculative, stepCopies) |
		bit(s.LongRunning, stepLasting) | bit(s.Image != "", stepImage) | bit(s.TailLatencyTargetMs != 0, stepTailTarget) |
		bit(s.BestEffortCPU, stepFiller) | bit(s.MaxUnavailable != 0, stepMayMiss) | bit(s.Resources.Accelerators != 0, stepAccelerators) |
		bit(s.Resources.Slots != 0, stepSlots) | bit(s.Resources.Connections != 0, stepConnections)
	e.uint(set)
	e.int(s.Tasks)
	e.int64(s.Resources.MilliCPU)
	e.int64(s.Resources.MemoryMB)
	number := func(mask uint64, v int64) {
		if set&mask != 0 {
			e.int64(v)
		}
	}
	word := func(mask uint64, v string) {
		if set&mask != 0 {
			e.name(v)
		}
	}
	number(stepAccelerators, s.Resources.Accelerators)
	number(stepSlots, s.Resources.Slots)
	number(stepConnections, s.Resources.Connections)
	number(stepEstimate, s.EstimateMs)
	number(stepMaxPerWorker, int64(s.MaxPerWorker))
	number(stepTailTarget, s.TailLatencyTargetMs)
	number(stepMayMiss, int64(s.MaxUnavailable))
	word(stepLabel, s.Label)
	word(stepDataRack, s.DataRack)
	word(stepImage, s.Image)
	if set&stepAfter != 0 {
		e.uint(uint64(len(s.After)))
		for _, a := range s.After {
			e.int(a)
		}
	}
}
