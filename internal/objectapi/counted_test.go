package objectapi

import (
	"context"
	"encoding/json"
	"testing"
)

// TestCountingStore makes one call of each method and checks the counts.
func TestCountingStore(t *testing.T) {
	ctx := context.Background()
	c := &CountingStore{Store: NewMemory()}
	v, err := c.Create(ctx, "leases/orders", []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = c.Get(ctx, "leases/orders")
	if v, err = c.Update(ctx, "leases/orders", []byte("2"), v); err != nil {
		t.Fatal(err)
	}
	_, _, _ = c.List(ctx, "config/")
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, _, _ = c.Watch(cancelled, "config/", v)
	_ = c.Delete(ctx, "leases/orders", v)
	got, err := json.Marshal(c)
	want := `{"create leases":1,"delete leases":1,"get leases":1,"list config":1,"update leases":1,"watch config":1}`
	if err != nil || string(got) != want {
		t.Errorf("got %s, %v, want %s", got, err, want)
	}
}
