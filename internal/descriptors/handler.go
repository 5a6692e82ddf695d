package descriptors

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/intake"
)

// bodyTimeout bounds the time for the body of a request: the time that clients of the platform wait for an answer.
const bodyTimeout = 10 * time.Second

// answerTimeout is as long as a caller may take for its request.
const answerTimeout = bodyTimeout

type connKey struct{}

// ConnContext adds the connection to the context of its requests.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that notes when a request is read as a whole, and bounds the time for its body and the
// memory that the requests of the listener take.
//
// It must be called before the listener accepts connections.
func (l *Listener) Handler(next http.Handler, budget *intake.Budget) http.Handler {
	l.budget = budget
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.handled.Store(true)
		account := c.account
		account.Handle()
		defer account.Close()
		r = r.WithContext(intake.With(r.Context(), account))
		if r.Body == http.NoBody {
			account.Whole()
			c.whole()
		} else {
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails if the connection is closed; the read fails then too.
			r.Body = account.Body(r.Body, func() {
				_ = c.SetReadDeadline(time.Time{}) // As above.
				c.whole()
			})
		}
		next.ServeHTTP(w, r)
	})
}

// whole notes that a whole request has been read.
func (c *conn) whole() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.put(nil)
}
