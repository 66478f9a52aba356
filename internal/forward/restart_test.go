package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
)

// TestRestartDuringCall restarts a replica under its id while it works on a call that may not be
// repeated. The call may have run, so it fails and is not reported as "not run", and its failure
// does not count against the new incarnation.
func TestRestartDuringCall(t *testing.T) {
	var tf *testFleet
	restarted := make(chan struct{})
	s := newFakeReplica(t, "a", func(net.Conn, *http.Request) bool {
		tf.f.Fleet.Members.ApplyPlatform([]platform.Record{recordOf("a", "127.0.0.1:1", 2)}, time.Now())
		tf.f.Upstream.Drop("a")
		close(restarted)
		return false
	})
	tf = newFleet(t, route(catalog.Once, 2), s)
	resp, _, err := tf.ask(t)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v, %v, want 502", resp, err)
	}
	<-restarted
	st := tf.f.Fleet.Refresh().Status(0)
	if st.Incarnation != 2 || st.FailRate != 0 || st.BreakerOpen {
		t.Errorf("the failure counts against the new incarnation: %+v", st)
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("the call was sent %d times, want 1", n)
	}
}

func recordOf(id, addr string, inc ids.Incarnation) platform.Record {
	return platform.Record{ID: id, Role: platform.RoleService, Service: "svc", Addr: addr, Incarnation: inc}
}

// TestLeavingAppliesToOldIncarnationOnly restarts a replica while its old incarnation refuses a
// call with another identity in the response: the new incarnation stays in service.
func TestLeavingAppliesToOldIncarnationOnly(t *testing.T) {
	var tf *testFleet
	s := newFakeReplica(t, "a", func(c net.Conn, r *http.Request) bool {
		tf.f.Fleet.Members.ApplyPlatform([]platform.Record{recordOf("a", "127.0.0.1:1", 2)}, time.Now())
		return status(http.StatusMisdirectedRequest, "By: x\r\n")(c, r)
	})
	tf = newFleet(t, route(catalog.Once, 1), s)
	if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v, want 503", resp, err)
	}
	if got := tf.f.Fleet.Members.State("a", time.Now()); got == routing.Leaving {
		t.Error("the new incarnation counts as leaving")
	}
}
