package deployment

import (
	"net/http"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/contract"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// StateMachine is the deterministic state machine of the deployment log.
type StateMachine struct {
	revision         uint64
	contracts        map[string]*contractEntry
	intents          map[string]Intent         // Pending intents by zone.
	claims           map[string]*Claim         // By claimID.
	claimOrder       []string                  // Keys of the map claims (see claimID), oldest first.
	results          map[string]*commandResult // By CommandID.
	resultOrder      []string                  // Keys of the map results, oldest first.
	workspaceByToken map[string]string         // Workspace by digest of a caller token.
}

// NewStateMachine returns a StateMachine with empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		contracts:        map[string]*contractEntry{},
		intents:          map[string]Intent{},
		claims:           map[string]*Claim{},
		results:          map[string]*commandResult{},
		workspaceByToken: map[string]string{},
	}
}

// Revision returns the deployment revision, which each accepted contract change increments.
func (m *StateMachine) Revision() uint64 { return m.revision }

// WorkspaceOf returns the workspace to which the caller token with the given digest belongs, or "".
func (m *StateMachine) WorkspaceOf(tokenSHA256 string) string { return m.workspaceByToken[tokenSHA256] }

// Intent returns the pending intent for a zone.
func (m *StateMachine) Intent(zone string) (Intent, bool) {
	i, ok := m.intents[zone]
	return i, ok
}

// Workspaces returns the part of each contract that concerns a zone, by workspace name.
func (m *StateMachine) Workspaces(zone string) []*table.Workspace {
	workspaceNames := m.workspaceNames()
	out := make([]*table.Workspace, 0, len(workspaceNames))
	for _, name := range workspaceNames {
		e := m.contracts[name]
		out = append(out, e.parsed.ForZone(zone, e.Revision))
	}
	return out
}

// Contracts returns the contract of a workspace, or all contracts if the name is empty.
func (m *StateMachine) Contracts(workspace string) *api.ContractList {
	list := &api.ContractList{Revision: m.revision, Contracts: []api.Contract{}}
	for _, name := range m.workspaceNames() {
		if workspace != "" && workspace != name {
			continue
		}
		e := m.contracts[name]
		list.Contracts = append(list.Contracts, api.Contract{Workspace: name, Revision: e.Revision, YAML: string(e.YAML)})
	}
	return list
}

// Apply applies one entry of the log and returns the response to the request for which it was proposed.
func (m *StateMachine) Apply(data []byte) Response {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Response{Error: invalid("the entry cannot be decoded")}
	}
	switch {
	case c.Apply != nil:
		return m.applyOnce(c.Apply.CommandID, func() Response { return m.applyContract(c.Apply) })
	case c.Delete != nil:
		return m.applyOnce(c.Delete.CommandID, func() Response { return m.deleteContract(c.Delete) })
	case c.Intent != nil:
		return m.setIntent(c.Intent)
	case c.RemoveIntent != nil:
		return m.removeIntent(c.RemoveIntent)
	case c.Claim != nil:
		return m.applyClaim(c.Claim)
	case c.CloseClaim != nil:
		return m.closeClaim(c.CloseClaim)
	}
	return Response{}
}

// applyOnce returns the stored result of a repeated command. It carries out a new command and stores its result.
func (m *StateMachine) applyOnce(command string, run func() Response) Response {
	if r := m.storedResult(command); r != nil {
		return *r
	}
	resp := run()
	m.storeResult(&commandResult{Command: command, Error: resp.Error, Contract: resp.Contract})
	return resp
}

// storedResult returns the first result of a command, or nil.
func (m *StateMachine) storedResult(command string) *Response {
	r := m.results[command]
	if r == nil {
		return nil
	}
	resp := Response{Error: r.Error, Repeated: true}
	if r.Contract != nil {
		c := *r.Contract
		c.Repeated = true
		resp.Contract = &c
	}
	return &resp
}

func (m *StateMachine) storeResult(r *commandResult) {
	m.results[r.Command] = r
	m.resultOrder = append(m.resultOrder, r.Command)
	if len(m.resultOrder) > MaxResults {
		delete(m.results, m.resultOrder[0])
		m.resultOrder = m.resultOrder[1:]
	}
}

func (m *StateMachine) applyContract(a *Apply) Response {
	if e := m.revisionConflict(a.Workspace, a.ExpectedRevision); e != nil {
		return Response{Error: e}
	}
	parsed, findings := contract.Parse(a.File, a.YAML)
	if len(findings) > 0 {
		return Response{Error: FindingsError(findings)}
	}
	old := m.contracts[a.Workspace]
	var before *contract.Contract
	if old != nil {
		before = old.parsed
	}
	m.revision++
	m.contracts[a.Workspace] = &contractEntry{Revision: m.revision, YAML: a.YAML, File: a.File, parsed: parsed}
	m.indexTokens()
	return Response{Contract: &api.ContractResult{
		Workspace: a.Workspace,
		Revision:  m.revision,
		Accepted:  true,
		Effects:   contract.Diff(before, parsed),
	}}
}

func (m *StateMachine) deleteContract(d *Delete) Response {
	if e := m.revisionConflict(d.Workspace, d.ExpectedRevision); e != nil {
		return Response{Error: e}
	}
	old := m.contracts[d.Workspace]
	if old == nil {
		return Response{Error: &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound,
			Message: "workspace " + d.Workspace + " has no contract"}}
	}
	m.revision++
	delete(m.contracts, d.Workspace)
	m.indexTokens()
	return Response{Contract: &api.ContractResult{
		Workspace: d.Workspace,
		Revision:  m.revision,
		Accepted:  true,
		Effects:   contract.Diff(old.parsed, nil),
	}}
}

// revisionConflict returns an error if a contract change expects another revision than the present one.
func (m *StateMachine) revisionConflict(workspace string, expected *uint64) *api.Error {
	if expected == nil {
		return nil
	}
	current := uint64(0)
	if e := m.contracts[workspace]; e != nil {
		current = e.Revision
	}
	if current == *expected {
		return nil
	}
	return &api.Error{Status: http.StatusConflict, Code: api.CodeConflict, Revision: current, NotRun: api.NotRunTrue,
		Message: "the contract of workspace " + workspace + " has another revision than expected"}
}

func (m *StateMachine) setIntent(i *Intent) Response {
	if prior, ok := m.intents[i.Zone]; ok && prior.CommandID == i.CommandID {
		return Response{Repeated: true}
	}
	m.intents[i.Zone] = *i
	return Response{}
}

func (m *StateMachine) removeIntent(s *RemoveIntent) Response {
	if i, ok := m.intents[s.Zone]; ok && i.CommandID == s.CommandID {
		delete(m.intents, s.Zone)
	}
	return Response{}
}

func (m *StateMachine) applyClaim(c *Claim) Response {
	id := claimID(c.Workspace, c.Key)
	held := m.claims[id]
	if held == nil {
		m.addClaim(id, c)
		return Response{Claim: m.claims[id]}
	}
	if c.ReplacesJob != "" && held.Refusal == nil && held.Job == c.ReplacesJob && held.Digest == c.Digest {
		fresh := *c
		fresh.ReplacesJob = ""
		m.claims[id] = &fresh
		return Response{Claim: &fresh}
	}
	return Response{Claim: held, Repeated: held.Job != c.Job}
}

func (m *StateMachine) closeClaim(s *CloseClaim) Response {
	held := m.claims[claimID(s.Workspace, s.Key)]
	if held != nil && held.Refusal == nil && held.Job == s.Job {
		closed := *held
		closed.Refusal = s.Refusal
		m.claims[claimID(s.Workspace, s.Key)] = &closed
		held = &closed
	}
	return Response{Claim: held}
}

func (m *StateMachine) addClaim(id string, c *Claim) {
	fresh := *c
	fresh.ReplacesJob = ""
	m.claims[id] = &fresh
	m.claimOrder = append(m.claimOrder, id)
	if len(m.claimOrder) > MaxClaims {
		delete(m.claims, m.claimOrder[0])
		m.claimOrder = m.claimOrder[1:]
	}
}

// Snapshot returns the whole state, encoded in CBOR.
func (m *StateMachine) Snapshot() []byte {
	s := snapshot{Revision: m.revision, Contracts: m.contracts, Intents: m.intents}
	for _, id := range m.claimOrder {
		s.Claims = append(s.Claims, *m.claims[id])
	}
	for _, command := range m.resultOrder {
		s.Results = append(s.Results, *m.results[command])
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(eris.Wrap(err, "encode the deployment snapshot"))
	}
	return data
}

// Restore replaces the whole state by a snapshot.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "decode the deployment snapshot")
	}
	fresh := NewStateMachine()
	fresh.revision = s.Revision
	for name, e := range s.Contracts {
		parsed, findings := contract.Parse(e.File, e.YAML)
		if len(findings) > 0 {
			return eris.Errorf("contract of workspace %s in the snapshot: %s", name, findings[0])
		}
		e.parsed = parsed
		fresh.contracts[name] = e
	}
	if s.Intents != nil {
		fresh.intents = s.Intents
	}
	for i := range s.Claims {
		fresh.addClaim(claimID(s.Claims[i].Workspace, s.Claims[i].Key), &s.Claims[i])
	}
	for i := range s.Results {
		fresh.storeResult(&s.Results[i])
	}
	fresh.indexTokens()
	*m = *fresh
	return nil
}

func (m *StateMachine) workspaceNames() []string {
	workspaceNames := make([]string, 0, len(m.contracts))
	for name := range m.contracts {
		workspaceNames = append(workspaceNames, name)
	}
	sort.Strings(workspaceNames)
	return workspaceNames
}

// indexTokens rebuilds the index of caller tokens. A digest in two contracts belongs to the workspace whose name sorts
// first.
func (m *StateMachine) indexTokens() {
	clear(m.workspaceByToken)
	for _, name := range m.workspaceNames() {
		for _, digest := range m.contracts[name].parsed.TokensSHA256 {
			if _, taken := m.workspaceByToken[digest]; !taken {
				m.workspaceByToken[digest] = name
			}
		}
	}
}

func claimID(workspace, key string) string { return workspace + "\x00" + key }

func invalid(message string) *api.Error {
	return &api.Error{Status: http.StatusUnprocessableEntity, Code: api.CodeInvalid, Message: message,
		NotRun: api.NotRunTrue}
}

// FindingsError returns one error that reports all findings in a contract.
func FindingsError(findings []contract.Finding) *api.Error {
	e := invalid("the contract has findings")
	for _, f := range findings {
		e.Findings = append(e.Findings, api.Finding{File: f.File, Line: f.Line, Field: f.Field, Message: f.Message})
	}
	return e
}
