//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// phase is a step of a job as callers send it.
type phase struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstimateMS  int    `json:"estimate_ms"`
	Deps        []int  `json:"deps,omitempty"`
	Constraints string `json:"constraints,omitempty"`
}

type jobBody struct {
	Spec       string  `json:"spec"`
	Phases     []phase `json:"phases"`
	BestEffort bool    `json:"best_effort,omitempty"`
}

// answer is what a caller got. Status 0 stands for none.
type answer struct {
	status int
	state  string
	at     time.Time
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d %s", a.status, a.state)
}

func (a answer) accepted() bool { return a.status/100 == 2 }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one request of a caller on a connection of its own.
func (w *world) call(i *instance, method, id string, body any, wait time.Duration) answer {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	r, _ := http.NewRequest(method, "http://"+i.front+prefix+id, bytes.NewReader(raw))
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	c := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	w.note("caller  %s %s to %s", method, id, i.name)
	a := answer{}
	response, err := c.Do(r)
	if err == nil {
		raw, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	a.at = time.Now()
	if err == nil {
		var state struct{ State, Error string }
		json.Unmarshal(raw, &state)
		a.status, a.state = response.StatusCode, state.State
		if state.State == "" {
			a.state = state.Error
		}
	}
	w.note("answer  %s %s at %s: %s", method, id, i.name, a)
	return a
}

// submitStored submits a job that must be kept, again after each request without an answer or with 502 or 504.
func (w *world) submitStored(i *instance, id string, phases ...phase) answer {
	for range 4 {
		a := w.call(i, "POST", id, jobBody{Spec: "review", Phases: phases}, 1500*time.Millisecond)
		if a.status != 0 && a.status != 502 && a.status != 504 {
			return a
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return answer{}
}
