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

// errorBody is the body of a response that does not come from a backend server.
type errorBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
}

func asMaxBytesError(err error, target **http.MaxBytesError) bool {
	return errors.As(err, target)
}

// reply sends a response to the client, counts its outcome and records it as an event.
func (s *Server) reply(c *gin.Context, id string, started time.Time, resp response) {
	s.countOutcome(resp.Outcome)
	s.RecordEvent(event.Event{
		Kind:       eventKind(resp.Outcome),
		Request:    id,
		Backend:    resp.Backend,
		Detail:     resp.Reason,
		DurationUS: s.Now().Sub(started).Microseconds(),
	})
	h := c.Writer.Header()
	h.Set(HeaderRequestID, id)
	h.Set(HeaderInstance, s.Name)
	h.Set(HeaderOutcome, string(resp.Outcome))
	if resp.Reason != "" {
		h.Set(HeaderReason, resp.Reason)
	}
	if resp.status == http.StatusTooManyRequests || resp.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retrySeconds(resp.RetryAfter))
	}
	if resp.Outcome == route.Answered {
		c.Data(resp.status, resp.ContentType, resp.Body)
		return
	}
	c.JSON(resp.status, errorBody{Outcome: string(resp.Outcome), Reason: resp.Reason, RequestID: id})
}

// retrySeconds formats d for the Retry-After header, rounded up to whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func (s *Server) countOutcome(o route.Outcome) {
	switch o {
	case route.Answered:
		s.counters.Answered.Add(1)
	case route.Failed:
		s.counters.Failed.Add(1)
	case route.Unknown:
		s.counters.Unknown.Add(1)
	default:
		s.counters.Refused.Add(1)
	}
}

func eventKind(o route.Outcome) event.Kind {
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
