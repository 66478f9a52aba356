package apply

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// TestApply runs testdata/apply. It applies each file in turn to one store and checks the
// changes made, or the error of an invalid file, which must change nothing.
func TestApply(t *testing.T) {
	store := objectapi.NewMemory()
	datadriven.RunTest(t, "testdata/apply", func(t *testing.T, d *datadriven.TestData) string {
		dir := t.TempDir()
		file := filepath.Join(dir, "objects.json")
		if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		objects, err := ReadPath(file)
		var plan *Plan
		if err == nil {
			plan, err = NewPlan(t.Context(), store, objects)
		}
		if err != nil {
			return strings.ReplaceAll(fmt.Sprintln("error:", err), dir+"/", "")
		}
		done, err := plan.Run(t.Context(), store)
		out := ""
		for _, c := range done {
			out += fmt.Sprintf("%s/%s %s\n", c.Kind, c.Name, c.Action)
		}
		if err != nil {
			out += fmt.Sprintln("error:", err)
		}
		return out
	})
}

// TestConcurrentOperators lets two operators plan on the same state: the second one to write must
// get a ConflictError, and the first one's change must remain. A document that a template refers
// to can't be deleted.
func TestConcurrentOperators(t *testing.T) {
	store := objectapi.NewMemory()
	document := func(text string) []config.Object {
		return []config.Object{{Kind: config.KindDocument, Name: "d", Document: &config.Document{Text: text}}}
	}
	base, err := NewPlan(t.Context(), store, document("base"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := base.Run(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	first, _ := NewPlan(t.Context(), store, document("first"))
	second, _ := NewPlan(t.Context(), store, document("second"))
	if _, err := first.Run(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	_, err = second.Run(t.Context(), store)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("second operator: got error %v, want a ConflictError", err)
	}
	if o, _ := store.Get(t.Context(), config.Key(config.KindDocument, "d")); !strings.Contains(string(o.Value), "first") {
		t.Errorf("stored object is %s, want the first operator's", o.Value)
	}
	template := []config.Object{{Kind: config.KindTemplate, Name: "t", Template: &config.Template{
		Prompt: &config.Prompt{Model: "m", Levels: []config.Level{{Name: "l", Document: "d"}}},
	}}}
	plan, err := NewPlan(t.Context(), store, template)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := plan.Run(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	if err := Delete(t.Context(), store, config.KindDocument, "d"); err == nil {
		t.Error("deleted a document that a template refers to")
	}
}
