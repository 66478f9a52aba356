package edge

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/settings"
)

// TestMetricsShowPredictionErrors checks that the metrics include the errors of predictions.
func TestMetricsShowPredictionErrors(t *testing.T) {
	d, err := New(settings.Settings{VM: "vm1", Edge: &settings.Edge{}}, Options{Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Log.Close()
	d.Forward.Prediction.Observe("chat", 0, time.Second, time.Second)
	text, err := json.Marshal(d.Metrics())
	if err != nil {
		t.Fatal(err)
	}
	var shown struct {
		Prediction struct {
			Routes map[string][]struct{ Count int64 }
		} `json:"prediction"`
	}
	if err := json.Unmarshal(text, &shown); err != nil {
		t.Fatal(err)
	}
	n := int64(0)
	for _, bucket := range shown.Prediction.Routes["chat"] {
		n += bucket.Count
	}
	if n != 1 {
		t.Fatalf("the metrics show %d predictions of the route, want 1: %s", n, text)
	}
}
