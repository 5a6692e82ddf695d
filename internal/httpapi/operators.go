package httpapi

import (
	"net/http"
	"net/http/pprof"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

func (a *API) operatorRoutes(m *http.ServeMux) {
	a.readRoute(m, "/v1/admin/contracts", func(*params) node.Request { return node.Request{ListContracts: &node.ListContracts{}} })
	a.readRoute(m, "/v1/admin/zones", func(*params) node.Request { return node.Request{Zones: &node.ListZones{}} })
	a.readRoute(m, "/v1/admin/hosts", func(*params) node.Request { return node.Request{Hosts: &node.ListHosts{}} })
	a.readRoute(m, "/v1/admin/workers", func(*params) node.Request { return node.Request{Workers: &node.ListWorkers{}} })
	a.readRoute(m, "/v1/admin/revisions", func(*params) node.Request { return node.Request{Revisions: &node.ListRevisions{}} })
	a.readRoute(m, "/v1/admin/jobs", func(*params) node.Request { return node.Request{List: &node.ListJobs{}} })
	a.operatorRoute(m, "/v1/admin/dump", methods{http.MethodGet: a.dump})
	a.operatorRoute(m, "/v1/admin/contracts/{workspace}", methods{
		http.MethodGet:    a.getContract,
		http.MethodPut:    a.applyContract,
		http.MethodDelete: a.deleteContract,
	})
	a.operatorRoute(m, "/v1/admin/zones/{zone}/out", methods{http.MethodPost: func(r *http.Request) result { return a.setZone(r, true) }})
	a.operatorRoute(m, "/v1/admin/zones/{zone}/in", methods{http.MethodPost: func(r *http.Request) result { return a.setZone(r, false) }})
	a.operatorRoute(m, "/v1/admin/hosts/{host}/drain", methods{http.MethodPost: a.drain})
	if a.options.Metrics != nil {
		m.Handle("/metrics", a.options.Metrics)
	}
	a.profileRoutes(m)
}

// operatorRoute registers the handlers of one path, for requests with an operator token.
func (a *API) operatorRoute(m *http.ServeMux, path string, ms methods) {
	guarded := methods{}
	for name, h := range ms {
		guarded[name] = func(r *http.Request) result {
			if !tokenAccepted(bearer(r), a.operatorDigests) {
				return unauthorized()
			}
			return h(r)
		}
	}
	m.Handle(path, a.route(path, guarded))
}

// readRoute registers a GET route that takes no query parameters.
func (a *API) readRoute(m *http.ServeMux, path string, request func(*params) node.Request) {
	a.operatorRoute(m, path, methods{http.MethodGet: func(r *http.Request) result {
		p := newParams(r)
		ask := request(p)
		if e := p.err(); e != nil {
			return failure(e)
		}
		ask.Operator = true
		return a.ask(r.Context(), ask, 0, "")
	}})
}

// Dump is the body of the state dump.
type Dump struct {
	Core  any `json:"core"`
	Shell any `json:"shell"`
}

// dump returns the state of the core and of the process shell. If the core does not answer, the error takes the place
// of its state, because the rest of the dump helps to find out why.
func (a *API) dump(r *http.Request) result {
	if e := newParams(r).err(); e != nil {
		return failure(e)
	}
	out := a.ask(r.Context(), node.Request{Operator: true, Dump: &node.GetDump{}}, 0, "")
	if out.callerGone {
		return out
	}
	return ok(Dump{Core: out.body, Shell: a.options.Backend.Dump()})
}

func (a *API) getContract(r *http.Request) result {
	p := newParams(r)
	name := &node.ContractRef{Workspace: p.name("workspace")}
	if e := p.err(); e != nil {
		return failure(e)
	}
	return a.ask(r.Context(), node.Request{Operator: true, GetContract: name}, 0, "")
}

func (a *API) applyContract(r *http.Request) result {
	p := newParams(r, "dry_run")
	c := &node.ApplyContract{Workspace: p.name("workspace"), DryRun: p.flag("dry_run"), ExpectedRevision: p.expectedRevision()}
	c.File = c.Workspace + ".yaml"
	id, notRun := p.commandID()
	c.CommandID = id
	if e := p.err(); e != nil {
		return refuse(e, notRun).withCommand(id)
	}
	data, e := readBody(r, yamlTypes)
	if e != nil {
		return refuse(e, notRun).withCommand(id)
	}
	c.YAML = data
	return a.ask(r.Context(), node.Request{Operator: true, ApplyContract: c}, 0, notRun).withCommand(id)
}

// commandID returns the command identifier and what the reply says about a command that is refused before it reaches
// the core: with an identifier that was generated here, no earlier request can have run it.
func (p *params) commandID() (string, api.NotRun) {
	id, generated := p.commandHeader()
	if generated {
		return id, api.NotRunTrue
	}
	return id, api.NotRunUnknown
}

func (a *API) deleteContract(r *http.Request) result {
	p := newParams(r, "dry_run")
	c := &node.DeleteContract{Workspace: p.name("workspace"), DryRun: p.flag("dry_run"), ExpectedRevision: p.expectedRevision()}
	id, notRun := p.commandID()
	c.CommandID = id
	return a.passCommand(r, p, node.Request{DeleteContract: c}, id, notRun)
}

func (a *API) setZone(r *http.Request, out bool) result {
	p := newParams(r)
	z := &node.SetZone{Zone: p.name("zone"), Out: out, ExpectedRevision: p.expectedRevision()}
	id, notRun := p.commandID()
	z.CommandID = id
	return zoneStatus(a.passCommand(r, p, node.Request{SetZone: z}, id, notRun))
}

// zoneStatus sets the status 202 on the result of a change that the zone has not confirmed.
func zoneStatus(out result) result {
	zone, isZone := out.body.(*api.ZoneStatus)
	if isZone && zone != nil && (zone.State == api.ZonePendingOut || zone.State == api.ZonePendingIn) {
		out.status = http.StatusAccepted
	}
	return out
}

func (a *API) drain(r *http.Request) result {
	p := newParams(r)
	d := &node.DrainHost{Host: p.name("host")}
	id, notRun := p.commandID()
	return a.passCommand(r, p, node.Request{Drain: d}, id, notRun)
}

// passCommand handles a command whose request must not have a body: it refuses a request with findings or with a body,
// and passes any other to the core.
func (a *API) passCommand(r *http.Request, p *params, request node.Request, id string, notRun api.NotRun) result {
	if e := p.err(); e != nil {
		return refuse(e, notRun).withCommand(id)
	}
	if e := noBody(r); e != nil {
		return refuse(e, notRun).withCommand(id)
	}
	request.Operator = true
	return a.ask(r.Context(), request, 0, notRun).withCommand(id)
}

// profileRoutes registers the runtime profiles of net/http/pprof, for requests with an operator token.
func (a *API) profileRoutes(m *http.ServeMux) {
	handlers := map[string]http.HandlerFunc{
		"/debug/pprof/":        pprof.Index,
		"/debug/pprof/cmdline": pprof.Cmdline,
		"/debug/pprof/profile": pprof.Profile,
		"/debug/pprof/symbol":  pprof.Symbol,
		"/debug/pprof/trace":   pprof.Trace,
	}
	for path, h := range handlers {
		m.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if !tokenAccepted(bearer(r), a.operatorDigests) {
				writeResult(w, unauthorized())
				return
			}
			h(w, r)
		})
	}
}
