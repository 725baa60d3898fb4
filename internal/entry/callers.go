package entry

import (
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
)

// callers turns HTTP exchanges into requests for the filter chain.
type callers struct {
	chain   filter.Handler
	metrics *metric.Set
	// connections returns the configured limit of connections of one caller.
	connections func() int
}

// Serve implements server.Handler.
func (c callers) Serve(x *server.Exchange) {
	var r *filter.Request
	r = filter.NewRequest(
		func(a *api.Answer) {
			if !r.AnsweredRemotely {
				countRefusal(c.metrics, a.Code)
			}
			reply(x, a)
		},
		func(ids *api.Identities) {
			c.metrics.Identities.Add(int64(len(ids.Identities)))
			x.Reply(result.Complete.Info().HTTPStatus, encode(ids), 0)
		})
	r.Arrived = x.Arrived
	r.ClaimConnection = func(p filter.Principal) bool { return x.ClaimConnection(p.Team+"/"+p.Name, c.connections()) }
	r.Method = string(x.Request.Header.Method())
	r.Path = string(x.Request.RequestURI())
	if token, ok := secure.BearerToken(x.Request.Header.Peek("Authorization")); ok {
		r.Token = string(token)
	}
	r.Body = x.Request.Body()
	c.chain.Handle(r)
}

func reply(x *server.Exchange, a *api.Answer) {
	x.Reply(a.Code.Info().HTTPStatus, encode(a), time.Duration(a.RetryAfterMS)*time.Millisecond)
}

// refuse returns the encoded answer to a request that the server could not read.
func (c callers) refuse(code result.Code, message string) []byte {
	countRefusal(c.metrics, code)
	return encode(api.NewAnswer(code, message))
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Not reached: the types hold only strings and numbers that JSON can represent, never NaN.
		return []byte(`{"code":500,"name":"internal","execution":"may have run"}`)
	}
	return append(b, '\n')
}
