package mirror

import (
	"strings"
	"testing"

	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestOddValueDoesNotSpoilAChunk packs a chunk in which one object has a value that is no JSON, or nested too deeply for it.
func TestOddValueDoesNotSpoilAChunk(t *testing.T) {
	for _, odd := range []string{strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000), "\xff\xfe", "1e", ""} {
		packed, err := pack([]objectapi.Object{{Key: "servers/a", Value: []byte("{}")}, {Key: "servers/odd", Value: []byte(odd)}, {Key: "servers/b", Value: []byte("{}")}})
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpack(packed)
		if err != nil || len(got) != 3 || string(got[1].Value) != odd || got[2].Key != "servers/b" {
			t.Errorf("%.20q: got %d objects, %v", odd, len(got), err)
		}
	}
}
