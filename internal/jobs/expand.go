package jobs

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/gentianpick/gentianpick/internal/model"
)

// decoder reads the compact form. After an error it returns zero values.
type decoder struct {
	in    []byte
	at    int
	names []string
	err   error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = &MalformedError{Pos: d.at, Msg: what}
	}
	d.at = len(d.in)
}

func (d *decoder) byte() byte {
	if d.at >= len(d.in) {
		d.fail("cut short")
		return 0
	}
	d.at++
	return d.in[d.at-1]
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.in[d.at:])
	if n <= 0 {
		d.fail("no number")
		return 0
	}
	d.at += n
	return v
}

func (d *decoder) int64() int64 {
	v, n := binary.Varint(d.in[d.at:])
	if n <= 0 {
		d.fail("no number")
		return 0
	}
	d.at += n
	return v
}

func (d *decoder) int() int {
	v := d.int64()
	if v < math.MinInt || v > math.MaxInt {
		d.fail("number out of range")
		return 0
	}
	return int(v)
}

// count reads how many elements follow. Each has at least one byte, so that a
// wrong count claims no memory.
func (d *decoder) count() int {
	v := d.uint()
	if v > uint64(len(d.in)-d.at) {
		d.fail("count too high")
		return 0
	}
	return int(v)
}

// bits reads a set of bits, of which all must be known.
func (d *decoder) bits(known uint64) uint64 {
	v := d.uint()
	if v&^known != 0 {
		d.fail("unknown bit")
		return 0
	}
	return v
}

// take reads n bytes.
func (d *decoder) take(n uint64) []byte {
	if n > uint64(len(d.in)-d.at) {
		d.fail("cut short")
		return nil
	}
	d.at += int(n)
	return d.in[d.at-int(n) : d.at]
}

// textAfter reads a string that begins with the given bytes.
func (d *decoder) textAfter(prefix string) string {
	head := d.uint()
	raw := d.take(head >> 1)
	if head&1 == 0 {
		return prefix + string(raw)
	}
	var b strings.Builder
	b.Grow(len(prefix) + 2*len(raw))
	b.WriteString(prefix)
	for _, c := range raw {
		b.WriteByte(hexDigits[c>>4])
		b.WriteByte(hexDigits[c&15])
	}
	return b.String()
}

func (d *decoder) text() string { return d.textAfter("") }

func (d *decoder) name() string {
	at := d.uint()
	switch {
	case at < uint64(len(d.names)):
		return d.names[at]
	case at > uint64(len(d.names)):
		d.fail("unknown name")
		return ""
	}
	last := ""
	if at > 0 {
		last = d.names[at-1]
	}
	shared := d.uint()
	if shared > uint64(min(len(last), maxShared)) {
		d.fail("name shares too much")
		return ""
	}
	s := d.textAfter(last[:shared])
	if d.err == nil {
		d.names = append(d.names, s)
	}
	return s
}

// finish returns the first error. Nothing may be left.
func (d *decoder) finish() error {
	if d.err == nil && d.at < len(d.in) {
		d.fail("bytes after the end")
	}
	return d.err
}

func (d *decoder) version() {
	if v := d.byte(); d.err == nil && v != compactV1 {
		d.fail(fmt.Sprintf("unknown version %d", v))
	}
}

// expandProgress reads the compact form of progress.
func expandProgress(value []byte) (Progress, error) {
	d := decoder{in: value}
	d.version()
	var p Progress
	if code := int(d.byte()); code < len(states) {
		p.State = states[code]
	} else {
		d.fail("unknown state")
	}
	p.FinishedMs = d.int64()
	if n := d.count(); n > 0 {
		p.Groups = make([]GroupProgress, n)
	}
	for i := range p.Groups {
		if d.group(&p.Groups[i]); d.err != nil {
			break
		}
	}
	if err := d.finish(); err != nil {
		return Progress{}, err
	}
	return p, nil
}

func (d *decoder) group(g *GroupProgress) {
	set := d.bits(groupAll)
	if set&groupOccurrence != 0 {
		g.Occurrence = d.int()
	}
	if set&groupStep != 0 {
		g.Step = d.int()
	}
	if set&groupDone != 0 {
		g.Done = d.bitmap()
	}
	if set&groupGang != 0 {
		g.Run, g.Failures, g.FailedRun = d.int(), d.int(), d.int()
	}
	if n := d.count(); n > 0 {
		g.Tasks = make([]TaskProgress, n)
	}
	next := uint64(0)
	for i := range g.Tasks {
		head := d.uint()
		next += head >> taskBits
		if next > MaxTasks {
			d.fail("task out of range")
		}
		if d.err != nil {
			return
		}
		t := &g.Tasks[i]
		t.Index, t.Run = int(next), g.usualRun()
		next++
		if head&taskHistory != 0 {
			t.Run, t.Failures, t.FailedRun = d.int(), d.int(), d.int()
		}
		if head&taskWorker != 0 {
			t.Worker = model.WorkerName(d.name())
		}
		if head&taskCheckpoint != 0 {
			t.Checkpoint = d.name()
		}
	}
}

func (d *decoder) bitmap() Bitmap {
	raw := d.take(d.uint())
	var b Bitmap
	for len(raw) > 0 {
		var word [8]byte
		raw = raw[copy(word[:], raw):]
		b.words = append(b.words, binary.LittleEndian.Uint64(word[:]))
	}
	return b
}

// expandJob reads the compact form of a submission.
func expandJob(value []byte) (Job, error) {
	d := decoder{in: value}
	d.version()
	var j Job
	j.ID, j.Queue, j.Payload = ID(d.text()), d.text(), d.text()
	set := d.bits(jobAll)
	if set&jobSchedule != 0 {
		j.Schedule = Schedule{Occurrences: d.int(), FirstMs: d.int64(), IntervalMs: d.int64()}
	}
	if set&jobSubmitted != 0 {
		j.SubmittedMs = d.int64()
	}
	if n := d.count(); n > 0 {
		j.Steps = make([]Step, n)
	}
	for i := range j.Steps {
		if d.step(&j.Steps[i]); d.err != nil {
			break
		}
	}
	if err := d.finish(); err != nil {
		return Job{}, err
	}
	return j, nil
}

func (d *decoder) step(s *Step) {
	set := d.bits(stepAll)
	s.Tasks = d.int()
	s.Resources.MilliCPU, s.Resources.MemoryMB = d.int64(), d.int64()
	number := func(mask uint64) int64 {
		if set&mask == 0 {
			return 0
		}
		return d.int64()
	}
	word := func(mask uint64) string {
		if set&mask == 0 {
			return ""
		}
		return d.name()
	}
	s.Resources.Accelerators = number(stepAccelerators)
	s.Resources.Slots = number(stepSlots)
	s.Resources.Connections = number(stepConnections)
	s.EstimateMs = number(stepEstimate)
	s.MaxPerWorker = int(number(stepMaxPerWorker))
	s.TailLatencyTargetMs = number(stepTailTarget)
	s.MaxUnavailable = int(number(stepMayMiss))
	s.Label = word(stepLabel)
	s.DataRack = word(stepDataRack)
	s.Image = word(stepImage)
	s.Gang, s.Checkpoints = set&stepGang != 0, set&stepCheckpoints != 0
	s.PreferOneRack, s.Speculative = set&stepOneRack != 0, set&stepCopies != 0
	s.LongRunning, s.BestEffortCPU = set&stepLasting != 0, set&stepFiller != 0
	if set&stepAfter == 0 {
		return
	}
	if n := d.count(); n > 0 {
		s.After = make([]int, n)
	}
	for i := range s.After {
		s.After[i] = d.int()
	}
}
