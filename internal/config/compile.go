package config

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// Defaults of template and workspace fields.
const (
	DefaultRecomputeWeight   = 0.2
	DefaultPromptDeadline    = 2 * time.Minute
	DefaultServiceDeadline   = 10 * time.Second
	DefaultMaxBodyBytes      = 64 << 10
	DefaultMaxParameterBytes = 256 << 10
	DefaultClaimRetention    = 24 * time.Hour
	DefaultRequestsPerSecond = 50
	DefaultConcurrency       = 64
	DefaultWeight            = 1
)

// Config is one revision of the configuration, compiled. It is immutable.
type Config struct {
	Revision   objectapi.Revision
	Documents  map[string]Document
	Templates  map[string]Template
	Workspaces map[ids.Workspace]Workspace
	// Rejected holds the reason why a stored object is not in force, or why one of a
	// workspace's API keys is not, by the object's key.
	Rejected map[string]string

	byKey     map[string]ids.Workspace // by HashKey of an API key
	byService map[string]Service       // by Service.Service
}

// Compile builds the configuration of one revision. It leaves out objects that don't
// decode, templates whose references don't resolve or whose service already has a template,
// and API keys that already belong to another workspace. It lists them in Rejected, so that
// one operator's mistake does not affect other operators' objects.
func Compile(rev objectapi.Revision, objects []objectapi.Object) *Config {
	c := &Config{
		Revision:   rev,
		Documents:  map[string]Document{},
		Templates:  map[string]Template{},
		Workspaces: map[ids.Workspace]Workspace{},
		Rejected:   map[string]string{},
		byKey:      map[string]ids.Workspace{},
		byService:  map[string]Service{},
	}
	for _, raw := range objects {
		o, err := Decode(raw.Value)
		if err == nil && o.Key() != raw.Key {
			err = eris.Errorf("object declares itself as %s", o.Key())
		}
		if err != nil {
			c.Rejected[raw.Key] = err.Error()
			continue
		}
		c.add(o)
	}
	c.resolve()
	return c
}

func (c *Config) add(o Object) {
	switch o.Kind {
	case KindDocument:
		c.Documents[o.Name] = *o.Document
	case KindTemplate:
		c.Templates[o.Name] = o.Template.withDefaults()
	case KindWorkspace:
		c.Workspaces[ids.Workspace(o.Name)] = o.Workspace.withDefaults()
	}
}

// resolve checks references between objects and builds the lookup tables.
func (c *Config) resolve() {
	for _, name := range sortedKeys(c.Templates) {
		t := c.Templates[name]
		if err := c.checkReferences(t); err != nil {
			c.Rejected[Key(KindTemplate, name)] = err.Error()
			delete(c.Templates, name)
			continue
		}
		if t.Service != nil {
			if _, taken := c.byService[t.Service.Service]; taken {
				c.Rejected[Key(KindTemplate, name)] = "service " + t.Service.Service + " already has a template"
				delete(c.Templates, name)
				continue
			}
			c.byService[t.Service.Service] = *t.Service
		}
	}
	for _, ws := range sortedKeys(c.Workspaces) {
		for _, h := range c.Workspaces[ws].APIKeySHA256 {
			h = strings.ToLower(h)
			if other, taken := c.byKey[h]; taken && other != ws {
				c.Rejected[Key(KindWorkspace, string(ws))] = "an API key already belongs to workspace " + string(other)
				continue
			}
			c.byKey[h] = ws
		}
	}
}

func (c *Config) checkReferences(t Template) error {
	if t.Prompt == nil {
		return nil
	}
	for i, l := range t.Prompt.Levels {
		if _, ok := c.Documents[l.Document]; l.Document != "" && !ok {
			return eris.Errorf("prompt.levels[%d]: document %q does not exist", i, l.Document)
		}
	}
	return nil
}

func (t Template) withDefaults() Template {
	if t.Prompt != nil {
		p := *t.Prompt
		if p.RecomputeWeight == nil {
			w := DefaultRecomputeWeight
			p.RecomputeWeight = &w
		}
		orDefault((*time.Duration)(&p.Deadline), DefaultPromptDeadline)
		p.Levels = slices.Clone(p.Levels)
		for i := range p.Levels {
			orDefault(&p.Levels[i].MaxBytes, DefaultMaxParameterBytes)
		}
		t.Prompt = &p
	}
	if t.Service != nil {
		s := *t.Service
		orDefault((*time.Duration)(&s.Deadline), DefaultServiceDeadline)
		orDefault((*time.Duration)(&s.ClaimRetention), DefaultClaimRetention)
		orDefault(&s.MaxBodyBytes, DefaultMaxBodyBytes)
		t.Service = &s
	}
	return t
}

func (w Workspace) withDefaults() Workspace {
	orDefault(&w.Limits.RequestsPerSecond, DefaultRequestsPerSecond)
	orDefault(&w.Limits.Concurrency, DefaultConcurrency)
	orDefault(&w.Limits.Weight, DefaultWeight)
	return w
}

func orDefault[T comparable](field *T, def T) {
	var zero T
	if *field == zero {
		*field = def
	}
}

// WorkspaceOf returns the workspace of an API key and reports whether there is one.
func (c *Config) WorkspaceOf(apiKey string) (ids.Workspace, bool) {
	ws, ok := c.byKey[HashKey(apiKey)]
	return ws, ok
}

// ServiceOf returns the template of a plain service and reports whether there is one.
func (c *Config) ServiceOf(service string) (Service, bool) {
	s, ok := c.byService[service]
	return s, ok
}

// MayUse reports whether a workspace may use a template.
func (c *Config) MayUse(ws ids.Workspace, template string) bool {
	allowed := c.Workspaces[ws].Templates
	return len(allowed) == 0 || slices.Contains(allowed, template)
}

// Render returns the texts of a prompt's levels for one request. If a parameter is missing
// or too long, the error names it.
func (c *Config) Render(ws ids.Workspace, p Prompt, params map[string]string) ([]string, error) {
	var out []string
	for _, l := range p.Levels {
		switch {
		case l.Document != "":
			out = append(out, c.Documents[l.Document].Text)
		case l.WorkspaceParameter != "":
			text, ok := c.Workspaces[ws].Parameters[l.WorkspaceParameter]
			if !ok {
				return nil, eris.Errorf("workspace %s does not declare parameter %q", ws, l.WorkspaceParameter)
			}
			out = append(out, text)
		default:
			text, ok := params[l.RequestParameter]
			if !ok {
				return nil, eris.Errorf("parameter %q is missing", l.RequestParameter)
			}
			if len(text) > l.MaxBytes {
				return nil, eris.Errorf("parameter %q has %d bytes, at most %d are allowed", l.RequestParameter, len(text), l.MaxBytes)
			}
			out = append(out, text)
		}
	}
	return out, nil
}

// ModelNames returns the names under which a workspace may request its models and prompt
// templates, sorted and without duplicates.
func (c *Config) ModelNames(ws ids.Workspace) []string {
	var out []string
	for _, name := range sortedKeys(c.Templates) {
		t := c.Templates[name]
		if t.Prompt == nil || !c.MayUse(ws, name) {
			continue
		}
		out = append(out, TemplateModelPrefix+name, string(t.Prompt.Model))
	}
	sort.Strings(out)
	return slices.Compact(out)
}

// TemplateModelPrefix is the prefix of model names that select a template.
const TemplateModelPrefix = "template:"

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// PlainPrompt returns the template of a request that names a model directly.
func PlainPrompt(m ids.Model) Prompt {
	return *Template{Prompt: &Prompt{Model: m}}.withDefaults().Prompt
}

// LongestRetention returns the longest claim retention of all service templates, at least
// DefaultClaimRetention.
func (c *Config) LongestRetention() time.Duration {
	longest := DefaultClaimRetention
	for _, s := range c.byService {
		longest = max(longest, s.ClaimRetention.D())
	}
	return longest
}
