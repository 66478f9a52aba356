// Package gateway serves the HTTP API for callers: the OpenAI-compatible model paths,
// plain services, and the health checks of the platform's load balancer.
package gateway

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"

	"github.com/threadwall/threadwall/internal/admission"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/confsync"
	"github.com/threadwall/threadwall/internal/dispatch"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/outcome"
	"github.com/threadwall/threadwall/internal/services"
	"github.com/threadwall/threadwall/internal/timeline"
)

// Headers of responses to callers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Threadwall-Outcome"
	HeaderTarget    = "X-Threadwall-Target"
	HeaderVM        = "X-Threadwall-Vm"
)

// Readiness reports whether this VM may take work. It must be safe for concurrent use.
type Readiness interface {
	// Ready reports whether the load balancer may send requests, and the reason if not.
	Ready() (ok bool, reason string)
	// Serves reports whether the VM has been ready once. Before that, the VM's
	// configuration may be older than one that its previous incarnation served.
	// Serves stays true during a shutdown, when requests may still arrive.
	Serves() bool
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	VM         ids.VM
	Config     *confsync.Current
	Limiter    *admission.Limiter
	Dispatcher *dispatch.Dispatcher
	Services   *services.Runner
	Events     *timeline.Log
	Readiness  Readiness
	MaxBody    int64 // longest body of a model request, in bytes
	Bodies     *ingress.Budget
	Log        zerolog.Logger
	Requests   atomic.Int64 // received under /v1
	Refused    atomic.Int64 // ended with an error, those in Broken included
	Broken     atomic.Int64 // ended with an error after the response had begun

	drainEnds atomic.Pointer[time.Time] // when calls that are taken must have ended; nil: no shutdown
}

// Handler returns the HTTP handler.
func (g *Gateway) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(g.recover)
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", g.ready)
	e.NoRoute(func(c *gin.Context) {
		g.fail(c, ids.NewRequest(), outcome.New(outcome.NotRun, outcome.CodeBadRequest, "route", "", "there is no resource at this path"))
	})
	v1 := e.Group("/v1", g.admit)
	v1.GET("/models", g.models)
	v1.POST("/chat/completions", g.prompt(dispatch.PathChat))
	v1.POST("/completions", g.prompt(dispatch.PathCompletions))
	v1.Any("/services/:service/*path", g.service)
	return e
}

func (g *Gateway) ready(c *gin.Context) {
	if ok, reason := g.Readiness.Ready(); !ok {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", reason)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// recover turns a panic into a response with an unknown outcome.
func (g *Gateway) recover(c *gin.Context) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
			panic(p)
		}
		g.Log.Error().Interface("panic", p).Str("step", "handle").Msg("request handler panicked")
		g.fail(c, requestOf(c), outcome.New(outcome.Unknown, outcome.CodeOutcomeUnknown, "handle", "", "the request failed in an unexpected way"))
	}()
	c.Next()
}

// Keys of values in a gin context.
const (
	keyRequest   = "request"
	keyWorkspace = "workspace"
	keyConfig    = "config"
)

func requestOf(c *gin.Context) ids.Request {
	id, _ := c.Get(keyRequest)
	r, _ := id.(ids.Request)
	return r
}

// admit assigns the request its id, its workspace and the configuration to use until
// the request ends, and applies the workspace's limits.
func (g *Gateway) admit(c *gin.Context) {
	req := ids.NewRequest()
	g.Requests.Add(1)
	c.Set(keyRequest, req)
	if !g.Readiness.Serves() {
		g.fail(c, req, outcome.New(outcome.NotRun, outcome.CodeNotReady, "admit", "", "this VM is not ready yet").After(time.Second))
		return
	}
	cfg := g.Config.Get()
	ws, ok := cfg.WorkspaceOf(bearer(c.Request))
	if !ok {
		g.fail(c, req, outcome.New(outcome.NotRun, outcome.CodeInvalidKey, "authenticate", "", "the API key is missing or wrong"))
		return
	}
	c.Set(keyWorkspace, ws)
	c.Set(keyConfig, cfg)
	g.Events.Record(timeline.Event{Kind: timeline.KindReceived, Request: req, Text: c.Request.Method + " " + c.Request.URL.Path + " workspace=" + string(ws)}, nil)
	release, refusal := g.Limiter.Admit(ws, cfg.Workspaces[ws].Limits)
	if refusal != nil {
		g.fail(c, req, refusal)
		return
	}
	defer release()
	c.Next()
}

func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func workspaceOf(c *gin.Context) (ids.Workspace, *config.Config) {
	return c.MustGet(keyWorkspace).(ids.Workspace), c.MustGet(keyConfig).(*config.Config)
}

func (g *Gateway) prompt(path string) gin.HandlerFunc {
	return func(c *gin.Context) {
		ws, cfg := workspaceOf(c)
		req := requestOf(c)
		body, release, refusal := g.readBody(c, g.MaxBody)
		defer release()
		if refusal != nil {
			g.fail(c, req, refusal)
			return
		}
		p, err := dispatch.ReadPrompt(req, ws, path, body, cfg)
		if err != nil {
			g.fail(c, req, promptError(err))
			return
		}
		if refusal := g.refuseInDrain(p.Template.Deadline.D()); refusal != nil {
			g.fail(c, req, refusal)
			return
		}
		s := &sink{g: g, c: c, request: req, ctl: http.NewResponseController(c.Writer)}
		if err := g.Dispatcher.Run(c.Request.Context(), p, s); err != nil {
			s.fail(outcome.Of(err))
			return
		}
		s.complete()
		g.recordDone(req, outcome.Ran)
	}
}

func promptError(err error) *outcome.Error {
	var unknown *dispatch.UnknownTemplateError
	if errors.As(err, &unknown) {
		return outcome.New(outcome.NotRun, outcome.CodeUnknownTemplate, "render", "", err.Error())
	}
	code := outcome.CodeBadRequest
	if strings.Contains(err.Error(), "parameter") {
		code = outcome.CodeParameter
	}
	return outcome.New(outcome.NotRun, code, "render", "", err.Error())
}

func (g *Gateway) service(c *gin.Context) {
	ws, cfg := workspaceOf(c)
	req := requestOf(c)
	t, ok := cfg.ServiceOf(c.Param("service"))
	if !ok {
		g.fail(c, req, outcome.New(outcome.NotRun, outcome.CodeUnknownService, "route", "", "there is no service "+c.Param("service")))
		return
	}
	key := c.GetHeader(services.HeaderIdempotencyKey)
	if key == "" && !t.Repeatable {
		g.fail(c, req, outcome.New(outcome.NotRun, outcome.CodeKeyRequired, "read", "caller", "calls of this service are not repeatable and need the header Idempotency-Key"))
		return
	}
	body, release, refusal := g.readBody(c, t.MaxBodyBytes)
	defer release()
	if refusal != nil {
		g.fail(c, req, refusal)
		return
	}
	if refusal := g.refuseInDrain(t.Deadline.D()); refusal != nil {
		g.fail(c, req, refusal)
		return
	}
	path := c.Param("path")
	if c.Request.URL.RawQuery != "" {
		path += "?" + c.Request.URL.RawQuery
	}
	response, err := g.Services.Run(c.Request.Context(), &services.Call{
		Request: req, Workspace: ws, Template: t, Method: c.Request.Method, Path: path,
		ContentType: c.ContentType(), Body: body, Key: key,
	})
	if err != nil {
		g.fail(c, req, outcome.Of(err))
		return
	}
	g.setHeaders(c, req, outcome.Ran)
	if !response.Kept {
		c.JSON(http.StatusOK, alreadyRan{Outcome: outcome.Ran.String(), Status: response.Status, Message: "the call ran before; its answer is not kept"})
	} else {
		c.Data(response.Status, response.ContentType, response.Body)
	}
	g.recordDone(req, outcome.Ran)
}

// alreadyRan is the response to a duplicate call whose response was not kept.
type alreadyRan struct {
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Message string `json:"message"`
}

func (g *Gateway) recordDone(req ids.Request, o outcome.Outcome) {
	g.Events.Record(timeline.Event{Kind: timeline.KindDone, Request: req, Text: o.String()}, nil)
}

// modelList is the response of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) models(c *gin.Context) {
	ws, cfg := workspaceOf(c)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range cfg.ModelNames(ws) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "threadwall"})
	}
	g.setHeaders(c, requestOf(c), outcome.Ran)
	c.JSON(http.StatusOK, list)
}
