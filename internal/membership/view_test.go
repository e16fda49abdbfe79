package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
)

func sec(s float64) model.Time { return model.Time(s * float64(time.Second)) }

func member(inc, address string) model.Member {
	dc := model.DataCentre("tartu")
	if inc[0] == 'v' {
		dc = "voru"
	}
	return model.Member{Name: inc, Incarnation: model.Incarnation(inc), DataCentre: dc, Address: address}
}

func newView() *View {
	return New(Config{Self: member("t0", "t0:1"), SuspectTimeout: 800 * time.Millisecond, RemotePeers: 2,
		Seeds: map[model.DataCentre][]string{"tartu": {"t0:1", "t1:1"}, "voru": {"v1:1", "v2:1", "v3:1"}}})
}

func names(ms []model.Member) (out string) {
	for _, m := range ms {
		out += string(m.Incarnation) + "@" + m.Address + " "
	}
	return out
}

func entryVM(address string) model.VM {
	return model.VM{Name: address, Kind: model.VMEntry, DataCentre: "tartu", Address: address}
}

// TestLastSeenOverridesVMList guards against a VM list that makes silent instances
// alive or hides alive ones.
func TestLastSeenOverridesVMList(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.ApplyVMList(0, []model.VM{entryVM("t0:1"), entryVM("t2:1")})
	v.MarkSeen(sec(1), member("t3", "t3:1"), false) // unregistered
	is.Equal(names(v.Alive(sec(1))), "t0@t0:1 t3@t3:1 ")
	is.Equal(names(v.HeartbeatTargets()[:3]), "@t1:1 @t2:1 t3@t3:1 ")
	is.Equal(len(v.Members(sec(1))), 3)
	v.MarkSeen(sec(1), member("t2", "t2:1"), true)
	is.Equal(names(v.Alive(sec(1))), "t0@t0:1 t3@t3:1 ") // t2 is draining
	is.Equal(names(v.Alive(sec(1.8))), "t0@t0:1 ")       // silent
	v.ApplyVMList(sec(70), []model.VM{entryVM("t2:1")})
	_, known := v.Member("t3")
	is.True(!known) // silent and unregistered
	_, known = v.Member("t2")
	is.True(known)
}

// TestReplacedVMSupersedesOldIncarnation guards against counting a replaced VM
// twice and against a late message that restores the old incarnation.
func TestReplacedVMSupersedesOldIncarnation(t *testing.T) {
	is := is.New(t)
	v := newView()
	v.MarkSeen(sec(1), member("t1-old", "t1:1"), false)
	v.MarkSeen(sec(1.1), member("t1-new", "t1:1"), false)
	v.MarkSeen(sec(1.2), member("t1-old", "t1:1"), false)
	is.Equal(names(v.Alive(sec(1.2))), "t0@t0:1 t1-new@t1:1 ")
}

// TestRemoteDataCentreTargetsAndOwner guards against forwarding to a silent owner and
// against heartbeats that keep going to silent instances of another data centre.
func TestRemoteDataCentreTargetsAndOwner(t *testing.T) {
	is := is.New(t)
	v := newView()
	is.Equal(len(v.HeartbeatTargets()), 1) // t1
	heartbeats := map[string]int{}
	for range 6 {
		m, ok := v.NextRemoteTarget()
		is.True(ok)
		heartbeats[m.Address]++
	}
	is.Equal(len(heartbeats), 2) // two instances of voru, round robin
	for _, n := range heartbeats {
		is.Equal(n, 3)
	}
	v.MarkSeen(sec(1), member("v1-a", "v1:1"), false)
	v.MarkSeen(sec(1), member("v2-a", "v2:1"), true)
	v.MarkSeen(sec(1), member("v3-a", "v3:1"), false)
	v.SetStatus(member("v3-a", "v3:1"), message.Load{FreeSlots: 7}, true, 4)
	v.SetStatus(member("v1-a", "v1:1"), message.Load{}, true, 3) // superseded owner
	owner, load, ok := v.RemoteOwner(sec(1), "voru")
	is.True(ok)
	is.Equal(owner.Address, "v3:1")
	is.Equal(load.FreeSlots, int64(7))
	is.Equal(names(v.RemoteMembers(sec(1), "voru")), "v3-a@v3:1 v1-a@v1:1 v2-a@v2:1 ")
	v.MarkSeen(sec(5), member("v2-a", "v2:1"), false)
	_, _, ok = v.RemoteOwner(sec(5), "voru")
	is.True(!ok)
	is.Equal(v.RemoteMembers(sec(5), "voru")[0].Address, "v2:1")
	is.Equal(v.DataCentres(), []model.DataCentre{"tartu", "voru"})
}

// TestWorkersSurviveIncompleteVMLists guards against losing workers because of one
// incomplete VM list.
func TestWorkersSurviveIncompleteVMLists(t *testing.T) {
	is := is.New(t)
	v := newView()
	worker := func(name string, leaving bool) model.VM {
		return model.VM{Name: name, Kind: model.VMWorker, DataCentre: "tartu", Leaving: leaving}
	}
	v.ApplyVMList(0, []model.VM{worker("w2", false), worker("w1", true)})
	for _, tc := range []struct {
		at   float64
		list []model.VM
		want int
	}{
		{10, nil, 2},                                // empty
		{20, []model.VM{entryVM("t0:1")}, 2},        // no workers
		{30, []model.VM{worker("w1", true)}, 2},     // w2 is missing
		{50, []model.VM{worker("w1", false)}, 2},    // w2 missing for 20 s
		{61, []model.VM{worker("w1", false)}, 1},    // w2 missing for 31 s
		{90, []model.VM{{Kind: model.VMWorker}}, 1}, // of another data centre
	} {
		v.ApplyVMList(sec(tc.at), tc.list)
		is.Equal(len(v.Workers()), tc.want)
		is.Equal(v.Workers()[0].Leaving, tc.at < 50)
	}
}
