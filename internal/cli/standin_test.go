package cli

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

func TestStandinFlags(t *testing.T) {
	// A mistyped flag must be rejected; otherwise workers would start with another capacity.
	is := is.New(t)
	r, err := parseShape("cpu=4,accelerators=2")
	is.NoErr(err)
	is.Equal(r, model.Resources{MilliCPU: 4000, MemoryMB: 32768, Accelerators: 2, Slots: 8, Connections: 64})
	vm, err := parseVM("e1,entry,tartu,127.0.0.1:7000,r1")
	is.NoErr(err)
	is.Equal(vm, model.VM{Name: "e1", Kind: model.VMEntry, DataCentre: "tartu", Address: "127.0.0.1:7000", Rack: "r1"})
	_, e1 := parseShape("cpus=4")
	_, e2 := parseShape("cpu=-1")
	_, e3 := parseVM("e1,entrance,tartu,127.0.0.1:7000")
	_, _, e4 := splitAddress("listen-base", "localhost:1")
	for _, err := range []error{e1, e2, e3, e4} {
		var flag *FlagError
		is.True(errors.As(err, &flag))
	}
}
