package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/result"
)

// Guards against a planned stop that cuts off requests: while the instance still answers, its responses must request
// that callers close their connections.
func TestDrainingInstanceTellsCallersToClose(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, "blackstone")
	e := s.start("blackstone", "b1")
	s.ready(e)
	id := s.identity(e, surveyToken)
	s.do(e, surveyToken, "POST", "/v1/jobs?wait_ms=0", job(id, 1, 2000))
	s.waitFor("the task runs", func() bool { return len(s.starts(id)) == 1 })
	e.Drain()
	req, _ := http.NewRequest("GET", "http://"+e.server.Address()+"/v1/jobs/"+id+"?wait_ms=60000", nil)
	req.Header.Set("Authorization", "Bearer "+surveyToken)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var a api.Answer
	is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	is.Equal(a.Code, result.Complete)
	is.True(resp.Close)
}
