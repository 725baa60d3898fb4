package entry

import (
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
)

// callers turns HTTP exchanges into requests for the filter chain.
type callers struct {
	chain filter.Handler
}

// Serve implements server.Handler.
func (c callers) Serve(x *server.Exchange) {
	r := filter.NewRequest(
		func(a *api.Answer) { reply(x, a) },
		func(ids *api.Identities) { x.Reply(result.Complete.Info().Status, encode(ids), 0) })
	r.Arrived = x.Arrived
	r.Method = string(x.Request.Header.Method())
	r.Path = string(x.Request.RequestURI())
	if token, ok := secure.BearerToken(x.Request.Header.Peek("Authorization")); ok {
		r.Token = string(token)
	}
	r.Body = x.Request.Body()
	c.chain.Handle(r)
}

func reply(x *server.Exchange, a *api.Answer) {
	x.Reply(a.Code.Info().Status, encode(a), time.Duration(a.RetryAfterMS)*time.Millisecond)
}

// refuse writes the answer to a request that the server could not read.
func refuse(code result.Code, message string) []byte {
	return encode(api.NewAnswer(code, message))
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// The types hold only strings and numbers; NaN cannot occur in them.
		return []byte(`{"code":500,"name":"internal","execution":"may have run"}`)
	}
	return append(b, '\n')
}
