// Package config defines the kinds of objects that operators declare in the object API:
// documents, templates and workspaces. It decodes, validates and compiles them into an
// immutable Config; package confsync distributes them among the VMs.
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

// Prefix is the key prefix of all configuration objects in the object API.
const Prefix = "config/"

// Kind is a kind of configuration object.
type Kind string

// The kinds.
const (
	KindDocument  Kind = "document"
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// Kinds lists all kinds in the order in which they are applied, so that an object follows
// those that it refers to.
var Kinds = []Kind{KindDocument, KindTemplate, KindWorkspace}

// Object is a configuration object of any kind. Exactly the field of its kind is set.
type Object struct {
	Kind      Kind       `json:"kind" validate:"required,oneof=document template workspace"`
	Name      string     `json:"name" validate:"required,max=120,slug"`
	Document  *Document  `json:"document,omitempty"`
	Template  *Template  `json:"template,omitempty"`
	Workspace *Workspace `json:"workspace,omitempty"`
}

// Key returns the object's key in the object API.
func (o Object) Key() string { return Key(o.Kind, o.Name) }

// Key returns the key of a configuration object in the object API.
func Key(k Kind, name string) string { return Prefix + string(k) + "/" + name }

// Document is a shared text that templates refer to, such as terms of hire.
type Document struct {
	Text string `json:"text" validate:"required,max=900000"`
}

// Template declares one kind of request: a prompt for a model or a call of a plain service.
// Exactly one of the fields is set.
type Template struct {
	Prompt  *Prompt  `json:"prompt,omitempty"`
	Service *Service `json:"service,omitempty"`
}

// Prompt is a template for a model. Its levels precede the caller's own messages, in order,
// the most widely shared first.
type Prompt struct {
	Model  ids.Model `json:"model" validate:"required"`
	Levels []Level   `json:"levels" validate:"max=16,dive"`
	// Priority orders queues in overload, the highest first. Default 0.
	Priority int `json:"priority,omitempty" validate:"min=-10,max=10"`
	// RecomputeWeight is how many seconds of time to first token one second of
	// avoidable prefill work is worth. Default 0.2. Values near 0 favor tail latency.
	RecomputeWeight *float64 `json:"recompute_weight,omitempty" validate:"omitempty,min=0,max=10"`
	// Continue lets a broken stream continue after the delivered text on another
	// replica. Default false: it ends with an error event.
	Continue bool `json:"continue,omitempty"`
	// Deadline bounds the whole request. Default 2m.
	Deadline durations.Duration `json:"deadline,omitempty"`
}

// Level is one shared part of a prompt. Exactly one of the sources of its text is set.
type Level struct {
	Name string `json:"name" validate:"required"`
	// Document names a document object, the same for all workspaces.
	Document string `json:"document,omitempty"`
	// WorkspaceParameter names a parameter that the workspace declares.
	WorkspaceParameter string `json:"workspace_parameter,omitempty"`
	// RequestParameter names a parameter that each request sets.
	RequestParameter string `json:"request_parameter,omitempty"`
	// MaxBytes bounds a request parameter, in bytes. Default 262144.
	MaxBytes int `json:"max_bytes,omitempty" validate:"min=0,max=1048576"`
}

// Service is a template for calls of a plain service.
type Service struct {
	Service string `json:"service" validate:"required,slug"`
	// Repeatable allows a call to run more than once. Default false: each call
	// needs an Idempotency-Key and runs at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// KeepAnswer stores the response with the call's claim (package claims) and returns it
	// to a late duplicate. Default false: a duplicate gets an error that says the call ran.
	KeepAnswer bool `json:"keep_answer,omitempty"`
	// MaxBodyBytes bounds a call's body, in bytes. Default 65536.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" validate:"min=0,max=1048576"`
	// Deadline bounds the call. Default 10s.
	Deadline durations.Duration `json:"deadline,omitempty"`
	// ClaimRetention is how long an Idempotency-Key that is a UUIDv7 stays valid; its claim
	// is kept longer than that. Default 24h. Claims of other keys are never deleted.
	ClaimRetention durations.Duration `json:"claim_retention,omitempty"`
}

// Workspace is one tenant.
type Workspace struct {
	// APIKeySHA256 holds the SHA-256, in hex, of each API key that callers may use.
	APIKeySHA256 []string          `json:"api_key_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	Parameters   map[string]string `json:"parameters,omitempty"`
	// Templates lists the templates that the workspace may use. Empty: all.
	Templates []string `json:"templates,omitempty"`
	Limits    Limits   `json:"limits"`
}

// Limits bound one workspace over all VMs.
type Limits struct {
	// RequestsPerSecond is the rate over all VMs. Default 50.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" validate:"min=0"`
	// Concurrency is how many requests may be in flight over all VMs. Default 64.
	Concurrency int `json:"concurrency,omitempty" validate:"min=0"`
	// Weight is the workspace's share in overload relative to other workspaces.
	// Default 1.
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
		panic(err) // a fault in newValidator, which every test would find
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

// HashKey returns the hex SHA-256 of an API key, the form in which workspaces declare it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ParseFile parses the objects of one file: JSON with comments, one object or an array of
// them. Errors name the file, the object's number and the field.
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

// Decode parses and validates one object on its own. Compile checks references between
// objects.
func Decode(data []byte) (Object, error) {
	var o Object
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return o, eris.Errorf("decode: %v", err)
	}
	return o, o.Validate()
}

// Validate checks an object without its references to other objects.
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

// describe formats a validator error as one line with the path and the failed rule of each
// field.
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
