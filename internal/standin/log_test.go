package standin

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
)

func ptr[T any](v T) *T { return &v }

func TestLogRetention(t *testing.T) {
	// Guards against a log that keeps too much or renumbers what it keeps, so
	// that carries and snapshots would be tested against the wrong offsets.
	for _, tc := range []struct {
		name              string
		cfg               LogConfig
		from              uint64
		first, next, tail uint64
		records           int
	}{
		{"all kept", LogConfig{}, 0, 0, 6, 6, 6},
		{"by count", LogConfig{MaxRecords: 2}, 0, 4, 6, 6, 2},
		{"by time", LogConfig{Retention: 2500 * time.Millisecond}, 0, 4, 6, 6, 2},
		{"first offset", LogConfig{FirstOffset: 10}, 0, 10, 16, 16, 6},
		{"from inside", LogConfig{}, 4, 0, 6, 6, 2},
		{"from above the tail", LogConfig{}, 9, 0, 6, 6, 0},
		{"nothing left", LogConfig{Retention: time.Nanosecond}, 2, 6, 6, 6, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var clock VirtualClock
			l := NewLog(tc.cfg, clock.Now)
			for i := range 6 {
				offset, err := l.Append("s", []byte{byte(i)})
				is.NoErr(err)
				is.Equal(offset, tc.cfg.FirstOffset+uint64(i))
				clock.Advance(time.Second)
			}
			r := l.Read("s", tc.from)
			is.Equal([]uint64{r.First, r.Next, r.Tail}, []uint64{tc.first, tc.next, tc.tail})
			is.Equal(len(r.Records), tc.records)
			for i, rec := range r.Records {
				is.Equal(rec.Offset, max(tc.from, tc.first)+uint64(i))
				is.Equal(uint64(rec.Payload[0]), rec.Offset-tc.cfg.FirstOffset)
			}
			is.True(r.AtTail())
		})
	}
}

func TestLogAppendLimit(t *testing.T) {
	// Guards against an append limit that counts streams apart or lets a
	// refused append take effect.
	is := is.New(t)
	var clock VirtualClock
	l := NewLog(LogConfig{AppendLimit: 4}, clock.Now)
	for round, want := range []int{4, 2, 4} { // a full bucket; after 0.5 s; after 5 s
		got := 0
		for i := range 10 {
			_, err := l.Append([]string{"a", "b"}[i%2], nil)
			var refused *platform.RefusedError
			is.True(err == nil || errors.As(err, &refused))
			if err == nil {
				got++
			}
		}
		is.Equal(got, want)
		clock.Advance([]time.Duration{500 * time.Millisecond, 5 * time.Second, 0}[round])
	}
	is.Equal(l.Appends(), 10)
	is.Equal(l.Read("a", 0).Tail+l.Read("b", 0).Tail, uint64(10))
}

func TestPlatformFaults(t *testing.T) {
	// Guards against fault switches that hide an append that took effect or
	// let one through that should not have.
	for _, tc := range []struct {
		name   string
		faults PlatformFaults
		code   model.Code // of the append from "tartu"; CodeNone: it succeeds
		effect uint64     // records appended
	}{
		{"none", PlatformFaults{}, model.CodeNone, 1},
		{"answer lost", PlatformFaults{CallFaults: CallFaults{LoseNext: ptr(1)}}, CodeAnswerLost, 1},
		{"answers always lost", PlatformFaults{CallFaults: CallFaults{LoseProbability: ptr(1.0)}}, CodeAnswerLost, 1},
		{"outage", PlatformFaults{CallFaults: CallFaults{Outage: ptr(true)}}, CodeOutage, 0},
		{"cut", PlatformFaults{Cut: &[]model.DataCentre{"tartu"}}, CodeCut, 0},
		{"another is cut", PlatformFaults{Cut: &[]model.DataCentre{"voru"}}, model.CodeNone, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var clock VirtualClock
			p := NewPlatform(NewLog(LogConfig{}, clock.Now), NewVMList(0, clock.Now), 1)
			p.Set(tc.faults)
			_, err := p.From("tartu").Append(context.Background(), "s", []byte("x"))
			is.Equal(faultCode(err), tc.code)
			var ambiguous *platform.UnavailableError
			is.Equal(errors.As(err, &ambiguous), tc.code != model.CodeNone)
			is.Equal(p.Log.Read("s", 0).Tail, tc.effect)
		})
	}
}

func TestVMList(t *testing.T) {
	// Guards against a VM list that is more current than the platform's.
	is := is.New(t)
	var clock VirtualClock
	v := NewVMList(time.Second, clock.Now)
	names := func() (s string) {
		for _, vm := range v.List() {
			s += vm.Name
			if vm.Leaving {
				s += "!"
			}
		}
		return s
	}
	v.Put(model.VM{Name: "b"})
	v.Put(model.VM{Name: "a"})
	is.Equal(names(), "")
	clock.Advance(time.Second)
	is.Equal(names(), "ab")
	v.SetLeaving("a", true)
	v.Hide("b", true)
	is.Equal(names(), "a!")
	v.Hide("b", false)
	v.Freeze(true)
	v.Remove("a")
	clock.Advance(time.Hour)
	is.Equal(names(), "a!b")
	v.Freeze(false)
	is.Equal(names(), "b")
}
