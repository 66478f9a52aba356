package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
)

// askChunked makes one call with a body of the given size whose length it does not tell, and returns the status.
func (tf *testFleet) askChunked(ctx context.Context, size int) (int, error) {
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", size))) // hides the length
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, tf.url+"/x", body)
	if err != nil {
		return 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Id", fmt.Sprint("c", callNumber.Add(1)))
	req.Header.Set("Expect", "100-continue")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}

// TestChunkedBodiesKeepTheirBound has callers send bodies without a length, more than fit in the memory for bodies: the calls for which
// there is none are refused, and those that are taken get their answers. It guards against bodies that counted with a fixed size.
func TestChunkedBodiesKeepTheirBound(t *testing.T) {
	const size, calls, room = 600 << 10, 8, 3 << 20 // each body takes 1 MiB
	tf := newFleet(t, route(catalog.Idempotent, 1), newFakeReplica(t, "a", after(time.Second, "fine")))
	tf.f.Tuning.MaxBodyMemory = room
	statuses := make(chan int, calls)
	for range calls {
		go func() {
			status, err := tf.askChunked(t.Context(), size)
			if err != nil {
				status = http.StatusServiceUnavailable // refused while the caller was still sending
			}
			statuses <- status
		}()
		time.Sleep(20 * time.Millisecond)
	}
	most := int64(0)
	for range 80 {
		most = max(most, tf.f.bodyBytes.Load())
		time.Sleep(10 * time.Millisecond)
	}
	count := map[int]int{}
	for range calls {
		count[<-statuses]++
	}
	if count[http.StatusOK] != room>>20 || count[http.StatusServiceUnavailable] != calls-room>>20 {
		t.Errorf("statuses %v, want %d calls served and the others refused", count, room>>20)
	}
	if most > room {
		t.Errorf("bodies held %d bytes, allowed are %d", most, room)
	}
	for tf.f.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := tf.f.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}

// TestSmallChunkedBodiesAreTaken has many callers send small bodies without a length at the same time, which fit in the memory for
// bodies. It guards against a reservation far above their size.
func TestSmallChunkedBodiesAreTaken(t *testing.T) {
	const size, calls = 10 << 10, 40
	tf := newFleet(t, route(catalog.Idempotent, 1), newFakeReplica(t, "a", after(300*time.Millisecond, "fine")))
	statuses := make(chan int, calls)
	for range calls {
		go func() {
			status, _ := tf.askChunked(t.Context(), size) // zero after an error
			statuses <- status
		}()
	}
	for range calls {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("a call of %d bytes got status %d, want 200", size, status)
		}
	}
}
