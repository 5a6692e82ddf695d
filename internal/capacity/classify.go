package capacity

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// Kinds of messages between hosts. The kinds of replica messages begin with "cell" or "deployment", because the groups
// differ in the period and the receivers of their messages.
const (
	kindHello   = "hello"
	kindForward = "forward"          // Requests that are passed on to a leader, and the replies to them and to reports.
	kindReport  = "forwarded report" // Reports of endpoints that are passed on to a leader.
	kindOther   = "other"
)

// envelope is a payload between hosts, as internal/node encodes it. Only what tells its kind is decoded.
type envelope struct {
	Replica *replica.Message `cbor:"1,keyasint,omitempty"`
	Forward *forward         `cbor:"2,keyasint,omitempty"`
	Reply   cbor.RawMessage  `cbor:"3,keyasint,omitempty"`
	Hello   cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
}

type forward struct {
	Cell *cellRequest `cbor:"3,keyasint,omitempty"`
}

type cellRequest struct {
	Report cbor.RawMessage `cbor:"9,keyasint,omitempty"`
}

// message is the kind and the size of one message.
type message struct {
	Kind  string
	Bytes int
}

// classifyBatch returns the messages in the body of a Deliver request.
func classifyBatch(body []byte) ([]message, error) {
	var b rpc.Batch
	if err := proto.Unmarshal(body, &b); err != nil {
		return nil, eris.Wrap(err, "decode batch")
	}
	var out []message
	for _, p := range b.Payloads {
		var e envelope
		if err := cbor.Unmarshal(p, &e); err != nil {
			return nil, eris.Wrap(err, "decode message")
		}
		out = append(out, message{Kind: e.kind(), Bytes: len(p)})
	}
	return out, nil
}

func (e *envelope) kind() string {
	switch {
	case e.Replica != nil:
		return groupKind(e.Replica.Group) + " " + replicaKind(e.Replica)
	case e.Hello != nil:
		return kindHello
	case e.Forward != nil && e.Forward.Cell != nil && e.Forward.Cell.Report != nil:
		return kindReport
	case e.Forward != nil, e.Reply != nil:
		return kindForward
	}
	return kindOther
}

func groupKind(g replica.GroupID) string {
	if g == "deployment" {
		return "deployment"
	}
	return "cell"
}

func replicaKind(m *replica.Message) string {
	switch m.Kind {
	case replica.MsgAppend:
		if len(m.Entries) > 0 {
			return "entries"
		}
		return "heartbeat"
	case replica.MsgAppendReply:
		return "append reply"
	case replica.MsgFollow:
		return "follow"
	case replica.MsgSnapshot:
		return "snapshot"
	}
	return "election"
}
