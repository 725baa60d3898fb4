package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/peer/message"
	"github.com/savorypass/savorypass/internal/result"
)

const (
	forwardMargin    = 2 * time.Second // added to the caller's wait for the transfer to the home and back
	lookupTimeout    = time.Second
	unreachableRetry = time.Second // retry hint of result.HomeUnreachable
)

var errNoAnswer = errors.New("forwarded request produced identities instead of an answer")

// remote implements dedup.Forwarder: it forwards requests to the homes of their identities.
type remote struct{ e *Entry }

// Forward implements dedup.Forwarder. It returns at once; r is answered later, by the home or from a copy.
func (f remote) Forward(r *filter.Request) {
	status, addr := f.e.members.Home(r.ID.Home)
	go func() {
		if status == member.HomeLive && f.forwardTo(r, addr) {
			return
		}
		f.answerFromCopy(r, status)
	}()
}

// forwardTo forwards a request to its home and answers it with the home's answer. It returns false, with the request
// not answered, if the home gave no answer.
func (f remote) forwardTo(r *filter.Request, addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.Wait+forwardMargin)
	defer cancel()
	f.e.metrics.Forwards.Add(metric.Sent, 1)
	body, err := f.e.node.Call(ctx, addr, peer.Forward, message.Encode(&message.Forward{
		Kind: forwardKinds[r.Action], Team: r.Principal.Team, Caller: r.Principal.Name, Identity: r.Identity,
		Body: r.Body, Wait: r.Wait,
	}))
	var m message.Answer
	if err == nil {
		err = message.Decode(body, &m)
	}
	var a api.Answer
	if err == nil {
		err = json.Unmarshal(m.Body, &a)
	}
	if err != nil {
		f.e.metrics.Wasted.Add(metric.WastedForwardFailed, 1)
		f.e.log.WithField("event", "forward_failed").WithError(err).WithField("home", r.ID.Home.Instance).WithField("identity", r.Identity).Warn("request not forwarded")
		return false
	}
	r.AnsweredRemotely = true
	r.Answer(&a)
	return true
}

var forwardKinds = map[filter.Action]message.ForwardKind{
	filter.Submit: message.ForwardSubmit,
	filter.Fetch:  message.ForwardFetch,
	filter.Cancel: message.ForwardCancel,
}

// answerFromCopy answers a request whose home cannot be reached: with a copy of the home's answer if a peer has one,
// otherwise with HomeLost if the home is known to be dead, or with HomeUnreachable. It never starts a submission, since
// the home may have started it.
func (f remote) answerFromCopy(r *filter.Request, status member.HomeStatus) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	if a, ok := f.e.lookupCopy(ctx, r.Identity, r.Principal.Team); ok {
		f.e.metrics.AnswerCopies.Add(metric.Served, 1)
		r.Answer(a)
		return
	}
	if status == member.HomeDead {
		a := api.NewAnswer(result.HomeLost, "the instance that issued the identity is gone and left no copy of an answer")
		a.Identity = r.Identity
		r.Answer(a)
		return
	}
	a := api.NewAnswer(result.HomeUnreachable, "the instance that issued the identity cannot be reached now")
	a.Identity, a.RetryAfterMS = r.Identity, unreachableRetry.Milliseconds()
	r.Answer(a)
}

// copyAnswer sends a copy of a finished answer to peers. The answer that replaces it after its retention is not copied.
func (e *Entry) copyAnswer(identity, team string, a *api.Answer) {
	e.replicas.Add(identity, team, encode(a))
	e.metrics.AnswerCopies.Add(metric.Sent, 1)
}

// lookupCopy looks for a copy of an answer of the team on this instance and on its peers.
func (e *Entry) lookupCopy(ctx context.Context, identity, team string) (*api.Answer, bool) {
	data, ok := e.replicas.Lookup(ctx, identity, team)
	if !ok {
		return nil, false
	}
	var a api.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		e.log.WithField("event", "copy_unreadable").WithError(err).WithField("identity", identity).Error("copy of an answer cannot be read")
		return nil, false
	}
	return &a, true
}

// handleForward is the handler of peer.Forward. It passes a request that another instance received to the filter chain
// and returns the encoded answer.
func (e *Entry) handleForward(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var m message.Forward
	if err := message.Decode(body, &m); err != nil {
		return nil, err
	}
	e.metrics.Forwards.Add(metric.Received, 1)
	answers := make(chan *api.Answer, 1)
	r := filter.NewRequest(func(a *api.Answer) {
		countRefusal(e.metrics, a.Code)
		answers <- a
	}, func(*api.Identities) { answers <- nil })
	r.Forwarded, r.Arrived = true, e.clock.Now()
	r.Principal = filter.Principal{Team: m.Team, Name: m.Caller}
	r.Body = m.Body
	r.Method, r.Path = forwardRoute(&m)
	e.handler.Handle(r)
	select {
	case a := <-answers:
		if a == nil {
			return nil, errNoAnswer
		}
		return message.Encode(&message.Answer{Body: encode(a)}), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forwardRoute returns the method and path with which a caller would have sent the forwarded request to this instance.
func forwardRoute(m *message.Forward) (method, path string) {
	wait := "?wait_ms=" + strconv.FormatInt(m.Wait.Milliseconds(), 10)
	id := "/v1/jobs/" + url.PathEscape(m.Identity)
	switch m.Kind {
	case message.ForwardFetch:
		return "GET", id + wait
	case message.ForwardCancel:
		return "DELETE", id + wait
	}
	return "POST", "/v1/jobs" + wait
}
