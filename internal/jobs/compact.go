package jobs

import (
	"encoding/binary"
	"fmt"
	"math/bits"
)

// The compact encoding of submissions and progress. It saves bandwidth, since the owner
// sends each entry to the store once and every other instance reads it, and processor
// time, since readers would spend most of theirs on decoding JSON.
//
// A value begins with a version byte that no JSON text begins with, so that readers can
// tell the two encodings apart. Numbers are varints, which are signed unless they are
// counts or indexes. A field that usually has its zero value is present only if a flag
// says so.

const (
	// compactV1 is the version of the encoding in this file.
	compactV1 = 1
	// maxSharedPrefix bounds the bytes that a dictionary text shares with the one
	// before it, and so the memory that a short malformed value can allocate.
	maxSharedPrefix = 32
	// dictWindow is how many of the newest dictionary texts an encoder searches.
	// Searching more would slow down the encoding of jobs with many tasks, and save
	// few bytes.
	dictWindow = 32
)

// stateCodes lists the states in the order of their codes. New states are appended.
var stateCodes = [...]State{"", Queued, Running, Completed, Failed, Cancelled}

// Flags of a group's progress.
const (
	groupOccurrence = 1 << iota
	groupStep
	groupDone
	groupGang
	groupMask = 1<<iota - 1
)

// Flags of a task's progress. The bits above them hold the number of tasks that are
// skipped since the task before.
const (
	taskHistory = 1 << iota // not the default run, or with failures
	taskWorker
	taskCheckpoint
	taskFlagBits = iota
)

// Flags of a job.
const (
	jobSchedule = 1 << iota
	jobSubmitted
	jobMask = 1<<iota - 1
)

// Flags of a step.
const (
	stepEstimate = 1 << iota
	stepAfter
	stepGang
	stepCheckpoints
	stepPreferOneRack
	stepMaxPerWorker
	stepLabel
	stepDataRack
	stepSpeculative
	stepLongRunning
	stepImage
	stepTailLatencyTarget
	stepBestEffortCPU
	stepMaxUnavailable
	stepAccelerators
	stepSlots
	stepConnections
	stepMask = 1<<iota - 1
)

// MalformedError reports a value that is not in the compact encoding that Encode
// writes.
type MalformedError struct {
	Pos int // byte offset
	Msg string
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed at byte %d: %s", e.Pos, e.Msg) }

// isCompact reports whether a value is in a version of the compact encoding, known or
// unknown. Other values are JSON, which doesn't begin with a byte below '\t'.
func isCompact(value []byte) bool {
	return len(value) > 0 && value[0] >= compactV1 && value[0] < '\t'
}

// encoder appends values in the compact encoding.
type encoder struct {
	out  []byte
	dict []string // texts in the order of their first use
}

func (e *encoder) uint(v uint64) { e.out = binary.AppendUvarint(e.out, v) }

func (e *encoder) int(v int) { e.out = binary.AppendVarint(e.out, int64(v)) }

func (e *encoder) int64(v int64) { e.out = binary.AppendVarint(e.out, v) }

// text appends a string. An even number of hexadecimal digits takes half a byte per
// digit.
func (e *encoder) text(s string) {
	if !isHex(s) {
		e.uint(uint64(len(s)) << 1)
		e.out = append(e.out, s...)
		return
	}
	e.uint(uint64(len(s)/2)<<1 | 1)
	for i := 0; i < len(s); i += 2 {
		e.out = append(e.out, hexDigitValue(s[i])<<4|hexDigitValue(s[i+1]))
	}
}

// dictText appends a string that the value may hold more than once: its index in the
// dictionary of the value and, if it is new, the part that differs from the text before
// it in the dictionary.
func (e *encoder) dictText(s string) {
	for at := len(e.dict) - 1; at >= max(0, len(e.dict)-dictWindow); at-- {
		if e.dict[at] == s {
			e.uint(uint64(at))
			return
		}
	}
	last := ""
	if len(e.dict) > 0 {
		last = e.dict[len(e.dict)-1]
	}
	e.uint(uint64(len(e.dict)))
	e.dict = append(e.dict, s)
	shared := 0
	for shared < min(len(s), len(last), maxSharedPrefix) && s[shared] == last[shared] {
		shared++
	}
	if shared > 0 && !isHex(s[shared:]) && isHex(s[shared-1:]) {
		shared-- // leaves an even number of digits
	}
	e.uint(uint64(shared))
	e.text(s[shared:])
}

const hexDigits = "0123456789abcdef"

// isHex reports whether a string consists of an even number, above zero, of lower-case
// hexadecimal digits.
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

func hexDigitValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'a' + 10
}

func flagIf(on bool, mask uint64) uint64 {
	if on {
		return mask
	}
	return 0
}

// encodeProgress returns progress in the compact encoding. It returns false for values
// that the encoding can't represent: an unknown state, tasks that are not in the order of
// their indexes, or crash records and late runs, which are rare and which earlier builds have
// to be able to skip.
func encodeProgress(p *Progress) ([]byte, bool) {
	code := -1
	for i, s := range stateCodes {
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
	flags := flagIf(g.Occurrence != 0, groupOccurrence) | flagIf(g.Step != 0, groupStep) | flagIf(g.Done.Count() > 0, groupDone) |
		flagIf(g.Run != 0 || g.Failures != 0 || g.FailedRun != 0, groupGang)
	e.uint(flags)
	if flags&groupOccurrence != 0 {
		e.int(g.Occurrence)
	}
	if flags&groupStep != 0 {
		e.int(g.Step)
	}
	if flags&groupDone != 0 {
		e.bitmap(g.Done)
	}
	if flags&groupGang != 0 {
		e.int(g.Run)
		e.int(g.Failures)
		e.int(g.FailedRun)
	}
	e.uint(uint64(len(g.Tasks)))
	next := 0
	for i := range g.Tasks {
		t := &g.Tasks[i]
		if t.Index < next || t.Index > MaxTasks || t.Crash != nil || t.LateRun != 0 || t.Waits {
			return false
		}
		flags := flagIf(t.Run != g.defaultRun() || t.Failures != 0 || t.FailedRun != 0, taskHistory) |
			flagIf(t.Worker != "", taskWorker) | flagIf(t.Checkpoint != "", taskCheckpoint)
		e.uint(uint64(t.Index-next)<<taskFlagBits | flags)
		next = t.Index + 1
		if flags&taskHistory != 0 {
			e.int(t.Run)
			e.int(t.Failures)
			e.int(t.FailedRun)
		}
		if flags&taskWorker != 0 {
			e.dictText(string(t.Worker))
		}
		if flags&taskCheckpoint != 0 {
			e.dictText(t.Checkpoint)
		}
	}
	return true
}

// defaultRun returns the run number that most tasks of a group have: the run of the
// gang, or 1.
func (g *GroupProgress) defaultRun() int { return max(1, g.Run) }

// bitmap appends a set as bytes, least significant first.
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

// encodeJob returns a submission in the compact encoding.
func encodeJob(j *Job) []byte {
	e := encoder{out: make([]byte, 0, 48+len(j.Payload)+24*len(j.Steps))}
	e.out = append(e.out, compactV1)
	e.text(string(j.ID))
	e.text(j.Queue)
	e.text(j.Payload)
	flags := flagIf(j.Schedule != Schedule{}, jobSchedule) | flagIf(j.SubmittedMs != 0, jobSubmitted)
	e.uint(flags)
	if flags&jobSchedule != 0 {
		e.int(j.Schedule.Occurrences)
		e.int64(j.Schedule.FirstMs)
		e.int64(j.Schedule.IntervalMs)
	}
	if flags&jobSubmitted != 0 {
		e.int64(j.SubmittedMs)
	}
	e.uint(uint64(len(j.Steps)))
	for i := range j.Steps {
		e.step(&j.Steps[i])
	}
	return e.out
}

func (e *encoder) step(s *Step) {
	flags := flagIf(s.EstimateMs != 0, stepEstimate) | flagIf(len(s.After) > 0, stepAfter) | flagIf(s.Gang, stepGang) |
		flagIf(s.Checkpoints, stepCheckpoints) | flagIf(s.PreferOneRack, stepPreferOneRack) | flagIf(s.MaxPerWorker != 0, stepMaxPerWorker) |
		flagIf(s.Label != "", stepLabel) | flagIf(s.DataRack != "", stepDataRack) | flagIf(s.Speculative, stepSpeculative) |
		flagIf(s.LongRunning, stepLongRunning) | flagIf(s.Image != "", stepImage) | flagIf(s.TailLatencyTargetMs != 0, stepTailLatencyTarget) |
		flagIf(s.BestEffortCPU, stepBestEffortCPU) | flagIf(s.MaxUnavailable != 0, stepMaxUnavailable) | flagIf(s.Resources.Accelerators != 0, stepAccelerators) |
		flagIf(s.Resources.Slots != 0, stepSlots) | flagIf(s.Resources.Connections != 0, stepConnections)
	e.uint(flags)
	e.int(s.Tasks)
	e.int64(s.Resources.MilliCPU)
	e.int64(s.Resources.MemoryMB)
	number := func(mask uint64, v int64) {
		if flags&mask != 0 {
			e.int64(v)
		}
	}
	text := func(mask uint64, v string) {
		if flags&mask != 0 {
			e.dictText(v)
		}
	}
	number(stepAccelerators, s.Resources.Accelerators)
	number(stepSlots, s.Resources.Slots)
	number(stepConnections, s.Resources.Connections)
	number(stepEstimate, s.EstimateMs)
	number(stepMaxPerWorker, int64(s.MaxPerWorker))
	number(stepTailLatencyTarget, s.TailLatencyTargetMs)
	number(stepMaxUnavailable, int64(s.MaxUnavailable))
	text(stepLabel, s.Label)
	text(stepDataRack, s.DataRack)
	text(stepImage, s.Image)
	if flags&stepAfter != 0 {
		e.uint(uint64(len(s.After)))
		for _, a := range s.After {
			e.int(a)
		}
	}
}
