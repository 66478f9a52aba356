package lab

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/lab/texts"
	"github.com/threadwall/threadwall/internal/platform"
)

// Example is the content of one directory below examples/.
type Example struct {
	Objects []config.Object
	VMs     []platform.Record
	Load    ExampleLoad
}

// ExampleLoad is the workload of an example, read from its load.json.
type ExampleLoad struct {
	Template          string `json:"template"`
	Parameter         string `json:"parameter"` // request parameter of the template
	Text              string `json:"text"`      // "contract" or "history"
	TextsPerWorkspace int    `json:"texts_per_workspace"`
	Service           string `json:"service"`
	MaxTokens         int    `json:"max_tokens"`
	// Workspaces lists the names of the example's workspace objects.
	Workspaces []string
}

// ReadExample reads an example directory.
func ReadExample(dir string) (*Example, error) {
	objects, err := apply.ReadPath(filepath.Join(dir, "objects"))
	if err != nil {
		return nil, err
	}
	ex := &Example{Objects: objects}
	if err := readJSON(filepath.Join(dir, "lab", "vms.json"), &ex.VMs); err != nil {
		return nil, err
	}
	if err := readJSON(filepath.Join(dir, "lab", "load.json"), &ex.Load); err != nil {
		return nil, err
	}
	for _, o := range objects {
		if o.Kind == config.KindWorkspace {
			ex.Load.Workspaces = append(ex.Load.Workspaces, o.Name)
		}
	}
	return ex, nil
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read example")
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return eris.Wrapf(err, "read %s", path)
	}
	return eris.Wrapf(json.Unmarshal(std, into), "read %s", path)
}

// Spec returns the example's workload, to be sent to VMs at the given base URLs. The caller sets
// the number, rate and mix of requests.
func (e *Example) Spec(entries []string) LoadSpec {
	text := texts.Contract
	if e.Load.Text == "history" {
		text = texts.History
	}
	return LoadSpec{
		Entries: entries, Workspaces: e.Load.Workspaces, Template: e.Load.Template, Parameter: e.Load.Parameter,
		Texts: text, TextsPerWorkspace: e.Load.TextsPerWorkspace, Service: e.Load.Service, MaxTokens: e.Load.MaxTokens,
	}
}
