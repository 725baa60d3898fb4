package metric

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorypass/savorypass/internal/result"
)

// Guards against quantiles that include values older than the window, lose values within it, or fail on values outside
// the range.
func TestQuantilesCoverTheLastMinute(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	s := NewWithClock(func() time.Time { return now })
	q := s.QueueWait
	for i := 1; i <= 100; i++ {
		q.AddDuration(time.Duration(i) * time.Millisecond)
	}
	now = now.Add(50 * time.Second)
	got := q.Summary()
	is.Equal(got.Count, int64(100))
	is.True(got.P50 >= 50 && got.P50 < 51 && got.P99 >= 99 && got.P99 < 101)
	q.Add(-1)
	q.Add(1e12)
	now = now.Add(20 * time.Second)
	got = q.Summary()
	is.Equal(got.Count, int64(2)) // the first hundred have left the window
	is.Equal(got.Total, uint64(102))
	now = now.Add(time.Hour)
	is.Equal(q.Summary().Count, int64(0))
}

// Guards against published text that is not valid JSON, and against metrics under a wrong name.
func TestSetPublishesJSON(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Starts.Add(7)
	s.Refusals.Add(result.QueueFull)
	s.Wasted.Add(WastedGrantExpired, 2)
	s.ResponseRatio.Add(1.25)
	var got struct {
		Starts        int64          `json:"starts"`
		Refusals      map[string]int `json:"refusals"`
		Wasted        map[Kind]int   `json:"wasted_messages"`
		ResponseRatio Summary        `json:"response_ratio"`
	}
	is.NoErr(json.Unmarshal([]byte(s.String()), &got))
	is.Equal(got.Starts, int64(7))
	is.Equal(got.Refusals["queue_full"], 1)
	is.Equal(got.Wasted[WastedGrantExpired], 2)
	is.True(got.ResponseRatio.P50 > 1.23 && got.ResponseRatio.P50 < 1.27)
	is.Equal(s.Refusals.Value(result.QueueFull)+s.Wasted.Value(WastedGrantExpired)+s.Wasted.Value("other"), int64(3))
}

// Guards against a metric that the documentation does not describe.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range New().All() {
		if !strings.Contains(string(page), "| `"+n.Name+"` |") {
			t.Errorf("docs/metrics.md does not describe %q", n.Name)
		}
	}
}

func BenchmarkQuantilesAdd(b *testing.B) {
	q := New().QueueWait
	for b.Loop() {
		q.Add(12.5)
	}
}
