package front

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/daisyrack/daisyrack/pkg/event"
	"github.com/daisyrack/daisyrack/pkg/route"
)

// problem is the body of an answer that does not come from a backend server.
type problem struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

func asTooLarge(err error, target **http.MaxBytesError) bool {
	return errors.As(err, target)
}

// reply sends the outcome and counts it.
func (f *Server) reply(c *gin.Context, id string, started time.Time, out outcome) {
	f.count(out.Outcome)
	f.RecordEvent(event.Event{
		Kind:       kindOf(out.Outcome),
		Request:    id,
		Backend:    out.Backend,
		Detail:     out.Reason,
		DurationUS: f.Now().Sub(started).Microseconds(),
	})
	h := c.Writer.Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderInstance, f.Name)
	h.Set(HeaderOutcome, string(out.Outcome))
	if out.Reason != "" {
		h.Set(HeaderReason, out.Reason)
	}
	if out.status == http.StatusTooManyRequests || out.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retrySeconds(out.RetryAfter))
	}
	if out.Outcome == route.Answered {
		c.Data(out.status, out.ContentType, out.Body)
		return
	}
	c.JSON(out.status, problem{Outcome: string(out.Outcome), Reason: out.Reason, RequestID: id})
}

// retrySeconds rounds up, since the header counts whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func (f *Server) count(o route.Outcome) {
	switch o {
	case route.Answered:
		f.counters.Answered.Add(1)
	case route.Failed:
		f.counters.Failed.Add(1)
	case route.Unknown:
		f.counters.Unknown.Add(1)
	default:
		f.counters.Refused.Add(1)
	}
}

func kindOf(o route.Outcome) event.Kind {
	switch o {
	case route.Answered:
		return event.RequestAnswered
	case route.Failed:
		return event.RequestFailed
	case route.Unknown:
		return event.RequestUnknown
	default:
		return event.RequestRefused
	}
}
