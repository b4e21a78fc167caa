package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/internal/httpjson"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// Paths of the service and of the stand-in's admin routes.
const (
	pathKey         = "/v1/key"
	pathList        = "/v1/list"
	pathWatch       = "/v1/watch"
	pathLeases      = "/v1/leases"
	pathVMs         = "/v1/vms"
	pathAdminFaults = "/admin/faults"
	pathAdminVMs    = "/admin/vms"
	pathAdminCounts = "/admin/counts"
)

// maxWatchWait is the server's bound on the wait of one watch request.
const maxWatchWait = time.Minute

// maxAdminBytes bounds the body of an admin request; a list of 13,000 VMs is 3 MB.
const maxAdminBytes = 16 << 20

type putResult struct {
	Version int64 `json:"version"`
}

type watchResult struct {
	Events []platform.Event `json:"events"`
}

type leaseResult struct {
	Lease platform.LeaseID `json:"lease"`
}

type handler struct {
	store platform.Store
	vms   platform.VMLister
}

// NewHandler returns a handler that serves a store and a VM list. A non-nil admin adds
// the admin routes of the stand-in: faults, VM list and counters.
func NewHandler(store platform.Store, vms platform.VMLister, admin *memory.Store) http.Handler {
	h := &handler{store: store, vms: vms}
	engine := httpjson.NewEngine()
	engine.GET(pathKey, h.get)
	engine.PUT(pathKey, h.put)
	engine.DELETE(pathKey, h.delete)
	engine.GET(pathList, h.list)
	engine.GET(pathWatch, h.watch)
	engine.POST(pathLeases, h.grant)
	engine.PUT(pathLeases, h.keepAlive)
	engine.DELETE(pathLeases, h.revoke)
	engine.GET(pathVMs, h.listVMs)
	if admin != nil {
		addAdmin(engine, admin)
	}
	return engine
}

func (h *handler) get(c *gin.Context) {
	e, err := h.store.Get(c.Request.Context(), c.Query("key"))
	httpjson.Answer(c, e, err)
}

func (h *handler) list(c *gin.Context) {
	p := params{c: c}
	limit := p.integer("limit")
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	// A limit that overflows int has the same effect as none.
	res, err := h.store.List(c.Request.Context(), c.Query("prefix"), c.Query("after"), int(limit))
	httpjson.Answer(c, res, err)
}

func (h *handler) put(c *gin.Context) {
	p := params{c: c}
	expect, lease := p.integer("expect"), platform.LeaseID(p.integer("lease"))
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	value, err := httpjson.ReadBody(c, platform.MaxValueBytes)
	if err != nil {
		httpjson.Fail(c, err)
		return
	}
	version, err := h.store.Put(c.Request.Context(), c.Query("key"), value, expect, lease)
	httpjson.Answer(c, putResult{Version: version}, err)
}

func (h *handler) delete(c *gin.Context) {
	p := params{c: c}
	expect := p.integer("expect")
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	httpjson.Answer(c, struct{}{}, h.store.Delete(c.Request.Context(), c.Query("key"), expect))
}

func (h *handler) watch(c *gin.Context) {
	p := params{c: c}
	after, wait := p.integer("after"), p.duration("wait")
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), min(wait, maxWatchWait))
	defer cancel()
	events, err := h.store.Watch(ctx, c.Query("prefix"), after)
	httpjson.Answer(c, watchResult{Events: events}, err)
}

func (h *handler) grant(c *gin.Context) {
	p := params{c: c}
	ttl := p.duration("ttl")
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	id, err := h.store.GrantLease(c.Request.Context(), ttl)
	httpjson.Answer(c, leaseResult{Lease: id}, err)
}

func (h *handler) keepAlive(c *gin.Context) { h.callWithLease(c, h.store.KeepAlive) }

func (h *handler) revoke(c *gin.Context) { h.callWithLease(c, h.store.Revoke) }

func (h *handler) callWithLease(c *gin.Context, f func(context.Context, platform.LeaseID) error) {
	p := params{c: c}
	id := platform.LeaseID(p.integer("lease"))
	if p.err != nil {
		httpjson.Fail(c, p.err)
		return
	}
	httpjson.Answer(c, struct{}{}, f(c.Request.Context(), id))
}

func (h *handler) listVMs(c *gin.Context) {
	vms, err := h.vms.ListVMs(c.Request.Context())
	httpjson.Answer(c, vms, err)
}

// params parses query parameters and records the first error.
type params struct {
	c   *gin.Context
	err error
}

// integer parses an integer parameter; if it is absent the result is zero.
func (p *params) integer(name string) int64 {
	text := p.c.Query(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil && p.err == nil {
		p.err = errkind.New(errkind.InvalidRequest, "parameter %s is not an integer", name)
	}
	return n
}

// duration parses a parameter such as "250ms"; if it is absent the result is zero.
func (p *params) duration(name string) time.Duration {
	text := p.c.Query(name)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil && p.err == nil {
		p.err = errkind.New(errkind.InvalidRequest, "parameter %s is not a duration", name)
	}
	return d
}

func addAdmin(engine *gin.Engine, store *memory.Store) {
	engine.GET(pathAdminFaults, func(c *gin.Context) { c.JSON(http.StatusOK, store.Faults()) })
	engine.PUT(pathAdminFaults, adminSetter(store.SetFaults))
	engine.PUT(pathAdminVMs, adminSetter(store.SetVMs))
	engine.POST(pathAdminVMs, adminSetter(store.PutVM))
	engine.DELETE(pathAdminVMs, func(c *gin.Context) {
		store.RemoveVM(c.Query("id"))
		c.JSON(http.StatusOK, struct{}{})
	})
	engine.GET(pathAdminCounts, func(c *gin.Context) { c.JSON(http.StatusOK, store.Counts()) })
	engine.DELETE(pathAdminCounts, func(c *gin.Context) {
		store.ResetCounts()
		c.JSON(http.StatusOK, struct{}{})
	})
}

// adminSetter returns a handler that decodes the body of a request and calls f with it.
func adminSetter[T any](f func(T)) gin.HandlerFunc {
	return func(c *gin.Context) {
		var v T
		if err := httpjson.Decode(c, maxAdminBytes, &v); err != nil {
			httpjson.Fail(c, err)
			return
		}
		f(v)
		c.JSON(http.StatusOK, struct{}{})
	}
}
