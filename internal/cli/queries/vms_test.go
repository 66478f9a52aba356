package queries

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// TestStatusShowsDemand guards against a status that leaves out the demand, or shows that of a VM that is
// cut off.
func TestStatusShowsDemand(t *testing.T) {
	texts := []string{
		`{"vm": "vm1", "demand": [{"service": "models", "vms": 1, "listed": 2, "total": {"calls": 99}}]}`,
		`{"vm": "vm2", "demand": [{"service": "models", "vms": 2, "listed": 2, "age_ms": 120, "total": {"calls": 7}, "routes": [{"route": "notes", "calls": 7, "wait_ms": 45.5}], "workspaces": [{"workspace": "w1", "offered": 3.25, "admitted": 2}]}]}`,
		`{"vm": "vm3"}`,
	}
	all := make([]vmStatus, len(texts), len(texts)+1)
	for i, text := range texts {
		all[i].VM, all[i].Status = fmt.Sprint("vm", i+1), &status{}
		if err := json.Unmarshal([]byte(text), all[i].Status); err != nil {
			t.Fatal(err)
		}
	}
	all = append(all, vmStatus{VM: "vm4", Error: "no answer"})
	var out bytes.Buffer
	printStatus(&out, all, false)
	for _, want := range []string{"vm2, with 2 of 2 VMs, 120 ms old", "notes", "45.50", "w1", "3.25"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "99") {
		t.Errorf("the output has the demand of the VM that hears no other:\n%s", out.String())
	}
}
