package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/platform"
)

// VMList is the platform's list of VMs, which shows changes after a lag.
type VMList struct {
	clock Clock
	lag   time.Duration

	mu      sync.Mutex
	frozen  bool
	pending []vmChange
	vms     map[string]model.VM
	leaving map[string]bool // marked by a fault switch
	hidden  map[string]bool
}

type vmChange struct {
	at     time.Duration
	vm     model.VM
	remove bool
}

// NewVMList returns an empty list that shows changes after lag.
func NewVMList(lag time.Duration, clock Clock) *VMList {
	return &VMList{
		clock: clock, lag: lag, vms: map[string]model.VM{},
		leaving: map[string]bool{}, hidden: map[string]bool{},
	}
}

// Put adds a VM or replaces the one of the same name.
func (v *VMList) Put(vm model.VM) { v.change(vmChange{vm: vm}) }

// Remove removes a VM.
func (v *VMList) Remove(name string) { v.change(vmChange{vm: model.VM{Name: name}, remove: true}) }

func (v *VMList) change(c vmChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.at = v.clock() + v.lag
	v.pending = append(v.pending, c)
}

// SetLeaving marks a VM as leaving, or takes the mark off, at once.
func (v *VMList) SetLeaving(name string, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving[name] = leaving
}

// Hide makes a live VM missing in the list, or shows it again, at once.
func (v *VMList) Hide(name string, hidden bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hidden[name] = hidden
}

// Freeze stops changes made by Put and Remove from being shown. They are
// shown when the list is unfrozen.
func (v *VMList) Freeze(frozen bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle()
	v.frozen = frozen
}

// List returns the VMs as the list shows them now, by name.
func (v *VMList) List() []model.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle()
	vms := make([]model.VM, 0, len(v.vms))
	for name, vm := range v.vms {
		if v.hidden[name] {
			continue
		}
		vm.Leaving = vm.Leaving || v.leaving[name]
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b model.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

// settle applies the changes whose lag has passed.
func (v *VMList) settle() {
	now := v.clock()
	for !v.frozen && len(v.pending) > 0 && v.pending[0].at <= now {
		c := v.pending[0]
		v.pending = v.pending[1:]
		if c.remove {
			delete(v.vms, c.vm.Name)
		} else {
			v.vms[c.vm.Name] = c.vm
		}
	}
}

// Platform is the log and the VM list together. Itself it is the view of a
// caller whose data centre is not known.
type Platform struct {
	Log    *Log
	List   *VMList
	Faults *Faults
}

var _ platform.Platform = (*Platform)(nil)

// NewPlatform returns a platform without faults. The seed decides which
// answers are lost.
func NewPlatform(log *Log, list *VMList, seed uint64) *Platform {
	return &Platform{Log: log, List: list, Faults: newFaults(seed)}
}

// From returns the platform as callers of one data centre see it.
func (p *Platform) From(dc model.DataCentre) platform.Platform { return &view{p: p, dc: dc} }

// Append implements platform.Platform.
func (p *Platform) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	return p.From("").Append(ctx, stream, payload)
}

// Read implements platform.Platform. It waits in real time.
func (p *Platform) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	return p.From("").Read(ctx, stream, from, wait)
}

// VMs implements platform.Platform.
func (p *Platform) VMs(ctx context.Context) ([]model.VM, error) { return p.From("").VMs(ctx) }

type view struct {
	p  *Platform
	dc model.DataCentre
}

func (v *view) Append(_ context.Context, stream string, payload []byte) (uint64, error) {
	if err := v.p.Faults.blocked(v.dc); err != nil {
		return 0, &platform.UnavailableError{Op: "append", Cause: err}
	}
	offset, err := v.p.Log.Append(stream, payload)
	var refused *platform.RefusedError
	if errors.As(err, &refused) {
		return 0, err
	}
	if err := v.p.Faults.lost(v.dc, true); err != nil {
		return 0, &platform.UnavailableError{Op: "append", Cause: err}
	}
	return offset, nil
}

func (v *view) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platform.ReadResult, error) {
	if err := v.p.Faults.blocked(v.dc); err != nil {
		return platform.ReadResult{}, &platform.UnavailableError{Op: "read", Cause: err}
	}
	r := v.p.Log.ReadWait(ctx, stream, from, wait)
	if err := errors.Join(ctx.Err(), v.p.Faults.lost(v.dc, false)); err != nil {
		return platform.ReadResult{}, &platform.UnavailableError{Op: "read", Cause: err}
	}
	return r, nil
}

func (v *view) VMs(context.Context) ([]model.VM, error) {
	vms := v.p.List.List()
	if err := v.p.Faults.lost(v.dc, false); err != nil {
		return nil, &platform.UnavailableError{Op: "vms", Cause: err}
	}
	return vms, nil
}
