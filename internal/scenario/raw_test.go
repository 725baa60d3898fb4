package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/api"
)

// raw implements "raw JOBS": it resubmits the jobs of a group as pipelined requests on one connection, written in small
// pieces, and checks that the answers come in the order of the requests.
func raw(sc *script, args []string) error {
	if err := requireArgs(args, 1, "raw JOBS"); err != nil {
		return err
	}
	e := sc.sys.Entries[0]
	c, err := net.Dial("tcp", e.CallerAddress)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(WaitTimeout))
	var requests bytes.Buffer
	jobs := sc.jobs[args[0]]
	recordEnd := make([]func(*api.Answer, error), len(jobs))
	for i, j := range jobs {
		recordEnd[i] = sc.sys.History.recordRequest(j, Submit, e.Name)
		fmt.Fprintf(&requests, "POST /v1/jobs?wait_ms=45000 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\n\r\n%s",
			j.Token, strconv.Itoa(len(j.body)), j.body)
	}
	go func() {
		const pieceBytes = 777
		for b := requests.Bytes(); len(b) > 0; {
			n := min(pieceBytes, len(b))
			c.Write(b[:n])
			b = b[n:]
			time.Sleep(time.Millisecond)
		}
	}()
	r := bufio.NewReader(c)
	for i, j := range jobs {
		a, err := readAnswer(r)
		recordEnd[i](a, err)
		if err != nil {
			return fmt.Errorf("answer %d: %w", i, err)
		}
		if a.Identity != j.Identity {
			return fmt.Errorf("answer %d has the identity %s, must have %s", i, a.Identity, j.Identity)
		}
	}
	return nil
}

// readAnswer reads one HTTP response and decodes its body.
func readAnswer(r *bufio.Reader) (*api.Answer, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	var a api.Answer
	return &a, json.Unmarshal(body, &a)
}
