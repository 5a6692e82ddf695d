package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"strings"
)

// tokens are the accepted bearer tokens, of which the first is sent. They are secret, so String and MarshalJSON show
// only their number.
type tokens []string

// String implements fmt.Stringer.
func (t tokens) String() string { return fmt.Sprintf("%d tokens", len(t)) }

// MarshalJSON implements json.Marshaler.
func (t tokens) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

func (t tokens) first() string {
	if len(t) == 0 {
		return ""
	}
	return t[0]
}

// accepts reports, in constant time, whether an Authorization header has one of the tokens.
func (t tokens) accepts(header string) bool {
	got := sha256.Sum256([]byte(strings.TrimPrefix(header, "Bearer ")))
	found := 0
	for _, token := range t {
		want := sha256.Sum256([]byte(token))
		found |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return found == 1
}

// parseTokens reads one token per line and skips empty lines and lines that begin with #. Several tokens can be
// accepted at once so that a token can be replaced without an interruption.
func parseTokens(data []byte) tokens {
	var out tokens
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}
