package jobs

import (
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/gentianpick/gentianpick/internal/model"
)

// decoder reads values in the compact encoding. After an error, its methods return zero
// values.
type decoder struct {
	input []byte
	pos   int
	dict  []string
	err   error
}

func (d *decoder) fail(msg string) {
	if d.err == nil {
		d.err = &MalformedError{Pos: d.pos, Msg: msg}
	}
	d.pos = len(d.input)
}

func (d *decoder) byte() byte {
	if d.pos >= len(d.input) {
		d.fail("unexpected end")
		return 0
	}
	d.pos++
	return d.input[d.pos-1]
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.input[d.pos:])
	if n <= 0 {
		d.fail("invalid number")
		return 0
	}
	d.pos += n
	return v
}

func (d *decoder) int64() int64 {
	v, n := binary.Varint(d.input[d.pos:])
	if n <= 0 {
		d.fail("invalid number")
		return 0
	}
	d.pos += n
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

// count reads the number of elements that follow. It rejects a count above the number
// of bytes left, since each element has at least one byte. A malformed count therefore
// can't cause a large allocation.
func (d *decoder) count() int {
	v := d.uint()
	if v > uint64(len(d.input)-d.pos) {
		d.fail("count exceeds the bytes left")
		return 0
	}
	return int(v)
}

// flags reads a set of flags, which must all be in the mask.
func (d *decoder) flags(mask uint64) uint64 {
	v := d.uint()
	if v&^mask != 0 {
		d.fail("unknown flag")
		return 0
	}
	return v
}

// bytes reads the next n bytes.
func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.input)-d.pos) {
		d.fail("unexpected end")
		return nil
	}
	d.pos += int(n)
	return d.input[d.pos-int(n) : d.pos]
}

// textWithPrefix reads a string and returns it with the prefix prepended.
func (d *decoder) textWithPrefix(prefix string) string {
	header := d.uint()
	raw := d.bytes(header >> 1)
	if header&1 == 0 {
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

func (d *decoder) text() string { return d.textWithPrefix("") }

func (d *decoder) dictText() string {
	index := d.uint()
	switch {
	case index < uint64(len(d.dict)):
		return d.dict[index]
	case index > uint64(len(d.dict)):
		d.fail("dictionary index out of range")
		return ""
	}
	last := ""
	if index > 0 {
		last = d.dict[index-1]
	}
	shared := d.uint()
	if shared > uint64(min(len(last), maxSharedPrefix)) {
		d.fail("shared prefix too long")
		return ""
	}
	s := d.textWithPrefix(last[:shared])
	if d.err == nil {
		d.dict = append(d.dict, s)
	}
	return s
}

// finish returns the first error. Bytes after the value are an error too.
func (d *decoder) finish() error {
	if d.err == nil && d.pos < len(d.input) {
		d.fail("trailing bytes")
	}
	return d.err
}

func (d *decoder) version() {
	if v := d.byte(); d.err == nil && v != compactV1 {
		d.fail(fmt.Sprintf("unknown version %d", v))
	}
}

// decodeProgress decodes progress from the compact encoding.
func decodeProgress(value []byte) (Progress, error) {
	d := decoder{input: value}
	d.version()
	var p Progress
	if code := int(d.byte()); code < len(stateCodes) {
		p.State = stateCodes[code]
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
	flags := d.flags(groupMask)
	if flags&groupOccurrence != 0 {
		g.Occurrence = d.int()
	}
	if flags&groupStep != 0 {
		g.Step = d.int()
	}
	if flags&groupDone != 0 {
		g.Done = d.bitmap()
	}
	if flags&groupGang != 0 {
		g.Run, g.Failures, g.FailedRun = d.int(), d.int(), d.int()
	}
	if n := d.count(); n > 0 {
		g.Tasks = make([]TaskProgress, n)
	}
	next := uint64(0)
	for i := range g.Tasks {
		header := d.uint()
		next += header >> taskFlagBits
		if next > MaxTasks {
			d.fail("task index out of range")
		}
		if d.err != nil {
			return
		}
		t := &g.Tasks[i]
		t.Index, t.Run = int(next), g.defaultRun()
		next++
		if header&taskHistory != 0 {
			t.Run, t.Failures, t.FailedRun = d.int(), d.int(), d.int()
		}
		if header&taskWorker != 0 {
			t.Worker = model.WorkerName(d.dictText())
		}
		if header&taskCheckpoint != 0 {
			t.Checkpoint = d.dictText()
		}
	}
}

func (d *decoder) bitmap() Bitmap {
	raw := d.bytes(d.uint())
	var b Bitmap
	for len(raw) > 0 {
		var word [8]byte
		raw = raw[copy(word[:], raw):]
		b.words = append(b.words, binary.LittleEndian.Uint64(word[:]))
	}
	return b
}

// decodeJob decodes a submission from the compact encoding.
func decodeJob(value []byte) (Job, error) {
	d := decoder{input: value}
	d.version()
	var j Job
	j.ID, j.Queue, j.Payload = ID(d.text()), d.text(), d.text()
	flags := d.flags(jobMask)
	if flags&jobSchedule != 0 {
		j.Schedule = Schedule{Occurrences: d.int(), FirstMs: d.int64(), IntervalMs: d.int64()}
	}
	if flags&jobSubmitted != 0 {
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
	flags := d.flags(stepMask)
	s.Tasks = d.int()
	s.Resources.MilliCPU, s.Resources.MemoryMB = d.int64(), d.int64()
	number := func(mask uint64) int64 {
		if flags&mask == 0 {
			return 0
		}
		return d.int64()
	}
	text := func(mask uint64) string {
		if flags&mask == 0 {
			return ""
		}
		return d.dictText()
	}
	s.Resources.Accelerators = number(stepAccelerators)
	s.Resources.Slots = number(stepSlots)
	s.Resources.Connections = number(stepConnections)
	s.EstimateMs = number(stepEstimate)
	s.MaxPerWorker = int(number(stepMaxPerWorker))
	s.TailLatencyTargetMs = number(stepTailLatencyTarget)
	s.MaxUnavailable = int(number(stepMaxUnavailable))
	s.Label = text(stepLabel)
	s.DataRack = text(stepDataRack)
	s.Image = text(stepImage)
	s.Gang, s.Checkpoints = flags&stepGang != 0, flags&stepCheckpoints != 0
	s.PreferOneRack, s.Speculative = flags&stepPreferOneRack != 0, flags&stepSpeculative != 0
	s.LongRunning, s.BestEffortCPU = flags&stepLongRunning != 0, flags&stepBestEffortCPU != 0
	if flags&stepAfter == 0 {
		return
	}
	if n := d.count(); n > 0 {
		s.After = make([]int, n)
	}
	for i := range s.After {
		s.After[i] = d.int()
	}
}
