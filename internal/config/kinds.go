// Package config holds the kinds that operators declare in the object API:
// documents, templates and workspaces. It decodes, validates and compiles them
// into an immutable Config; package confsync spreads them between VMs.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/ids"
)

// Prefix is where all configuration lives in the object API.
const Prefix = "config/"

// Kind names a kind of configuration object.
type Kind string

// The kinds.
const (
	KindDocument  Kind = "document"
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// Kinds lists all kinds in the order in which they are applied: what is
// referred to comes first.
var Kinds = []Kind{KindDocument, KindTemplate, KindWorkspace}

// Object is the envelope of every kind. Exactly one of the specs is set.
type Object struct {
	Kind      Kind       `json:"kind" validate:"required,oneof=document template workspace"`
	Name      string     `json:"name" validate:"required,max=120,slug"`
	Document  *Document  `json:"document,omitempty"`
	Template  *Template  `json:"template,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
}

// Key is the object's key in the object API.
func (o Object) Key() string { return Key(o.Kind, o.Name) }

// Key is the key of a configuration object in the object API.
func Key(k Kind, name string) string { return Prefix + string(k) + "/" + name }

// Document is a shared text that templates refer to, such as terms of hire.
type Document struct {
	Text string `json:"text" validate:"required,max=900000"`
}

// Template declares one kind of work: a prompt for a model, or a call of a plain
// service.
type Template struct {
	Prompt  *Prompt  `json:"prompt,omitempty"`
	Service *Service `json:"service,omitempty"`
}

// Prompt is a template for a model. Levels are put before the caller's own
// messages, in order, the most widely shared first.
type Prompt struct {
	Model  ids.Model `json:"model" validate:"required"`
	Levels []Level   `json:"levels" validate:"max=16,dive"`
	// Priority orders queues in overload. Default 0; higher goes first.
	Priority int `json:"priority,omitempty" validate:"min=-10,max=10"`
	// RecomputeWeight is how many seconds of time to first token one second of
	// avoidable prefill work is worth. Default 0.2. Tail latency first: near 0.
	RecomputeWeight *float64 `json:"recompute_weight,omitempty" validate:"omitempty,min=0,max=10"`
	// Continue allows a stream that broke to go on from the delivered text on
	// another replica. Default false: it ends with an error event.
	Continue bool `json:"continue,omitempty"`
	// Deadline bounds the whole request. Default 2m.
	Deadline durations.Duration `json:"deadline,omitempty"`
}

// Level is one shared part of a prompt. Exactly one source is set.
type Level struct {
	Name string `json:"name" validate:"required"`
	// Document names a document object, the same for all workspaces.
	Document string `json:"document,omitempty"`
	// WorkspaceParameter names a parameter that the workspace declares.
	WorkspaceParameter string `json:"workspace_parameter,omitempty"`
	// RequestParameter names a parameter that each request brings.
	RequestParameter string `json:"request_parameter,omitempty"`
	// MaxBytes bounds a request parameter. Default 262144.
	MaxBytes int `json:"max_bytes,omitempty" validate:"min=0,max=1048576"`
}

// Service is a template for calls of a plain service.
type Service struct {
	Service string `json:"service" validate:"required,slug"`
	// Repeatable says that a call may run more than once. Default false: each
	// call needs an Idempotency-Key and runs at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// KeepAnswer records the answer with the claim, so that a late duplicate is
	// given it. Default false: a duplicate is told that the call ran.
	KeepAnswer bool `json:"keep_answer,omitempty"`
	// MaxBodyBytes bounds a call's body. Default 65536.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"min=0,max=1048576"`
	// Deadline bounds the call. Default 10s.
	Deadline durations.Duration `json:"deadline,omitempty"`
	// ClaimRetention is how long a UUIDv7 key stays valid; its claim is kept
	// longer than that. Default 24h. Claims of other keys are kept for good.
	ClaimRetention durations.Duration `json:"claim_retention,omitempty"`
}

// Workspace is one tenant.
type Workspace struct {
	// APIKeySHA256 holds the hex SHA-256 of each key that callers may use.
	APIKeySHA256 []string          `json:"api_key_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	Parameters   map[string]string `json:"parameters,omitempty"`
	// Templates lists the templates that the workspace may use. Empty: all.
	Templates []string `json:"templates,omitempty"`
	Limits    Limits   `json:"limits"`
}

// Limits bound one workspace over all VMs.
type Limits struct {
	// RequestsPerSecond over all VMs. Default 50.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" validate:"min=0"`
	// Concurrency is how many requests may be in flight over all VMs. Default 64.
	Concurrency int `json:"concurrency,omitempty" validate:"min=0"`
	// Weight is the share in overload, relative to other workspaces. Default 1.
	Weight float64 `json:"weight,omitempty" validate:"min=0,max=1000"`
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	must(v.RegisterValidation("slug", func(fl validator.FieldLevel) bool { return isSlug(fl.Field().String()) }))
	return v
}

func must(err error) {
	if err != nil {
		panic(err) // a mistake in this file's tags, found by any test
	}
}

func isSlug(s string) bool {
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.') {
			return false
		}
	}
	return s != ""
}

// HashKey returns the form in which an API key is declared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ParseFile reads the objects of one file: JSON with comments, one object or an
// array of them. Errors name the file and the path in it.
func ParseFile(name string, data []byte) ([]Object, error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, eris.Errorf("%s: %v", name, err)
	}
	std = bytes.TrimSpace(std)
	var raws []json.RawMessage
	if bytes.HasPrefix(std, []byte("[")) {
		if err := json.Unmarshal(std, &raws); err != nil {
			return nil, eris.Errorf("%s: %v", name, err)
		}
	} else {
		raws = append(raws, std)
	}
	var out []Object
	for i, raw := range raws {
		o, err := Decode(raw)
		if err != nil {
			return nil, eris.Errorf("%s: object %d: %v", name, i+1, err)
		}
		out = append(out, o)
	}
	return out, nil
}

// Decode reads and validates one object on its own. References between objects
// are checked by Compile.
func Decode(data []byte) (Object, error) {
	var o Object
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return o, eris.Errorf("decode: %v", err)
	}
	return o, o.Validate()
}

// Validate checks an object on its own.
func (o Object) Validate() error {
	if err := validate.Struct(o); err != nil {
		return describe(err)
	}
	set := map[Kind]bool{KindDocument: o.Document != nil, KindTemplate: o.Template != nil, KindWorkspace: o.Workspace != nil}
	for k, isSet := range set {
		if isSet != (k == o.Kind) {
			return eris.Errorf("%s/%s: field %q must be set for kind %q and for no other", o.Kind, o.Name, k, k)
		}
	}
	if o.Template != nil {
		return o.Template.check(o.Name)
	}
	return nil
}

func (t Template) check(name string) error {
	if (t.Prompt == nil) == (t.Service == nil) {
		return eris.Errorf("template/%s: set exactly one of \"prompt\" and \"service\"", name)
	}
	if t.Prompt == nil {
		return nil
	}
	for i, l := range t.Prompt.Levels {
		n := 0
		for _, s := range []string{l.Document, l.WorkspaceParameter, l.RequestParameter} {
			if s != "" {
				n++
			}
		}
		if n != 1 {
			return eris.Errorf("template/%s: prompt.levels[%d]: set exactly one of document, workspace_parameter and request_parameter", name, i)
		}
	}
	return nil
}

// describe turns a validator error into one line with path and reason.
func describe(err error) error {
	var fields validator.ValidationErrors
	if !eris.As(err, &fields) {
		return err
	}
	var parts []string
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		reason := f.Tag()
		if f.Param() != "" {
			reason += "=" + f.Param()
		}
		parts = append(parts, fmt.Sprintf("%s: fails %q", path, reason))
	}
	return eris.New(strings.Join(parts, "; "))
}
