package front

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/daisyrack/daisyrack/internal/sched"
	"github.com/daisyrack/daisyrack/pkg/config"
	"github.com/daisyrack/daisyrack/pkg/event"
)

const (
	// HeaderAuthor is the header with the name of the operator who makes a change.
	HeaderAuthor = "Daisyrack-Author"

	// maxPublishBytes is the maximum size of the body of a publication.
	maxPublishBytes = 1 << 20

	bearerPrefix = "Bearer "
)

// ConfigResponse is the response body of GET /v1/config.
type ConfigResponse struct {
	Revision  int64                      `json:"revision"`
	Documents []config.VersionedDocument `json:"documents"`
}

// authorize rejects requests without the operators' token.
func (s *Server) authorize(c *gin.Context) {
	token, err := s.OperatorToken()
	if err != nil {
		c.AbortWithStatusJSON(http.StatusServiceUnavailable, gin.H{"reason": "the operators' token can not be read"})
		return
	}
	received, _ := strings.CutPrefix(c.GetHeader("Authorization"), bearerPrefix)
	if token != "" && subtle.ConstantTimeCompare([]byte(received), []byte(token)) != 1 {
		c.AbortWithStatusJSON(http.StatusUnauthorized, gin.H{"reason": "the operators' token is missing or wrong"})
	}
}

// author returns the name of the operator for the history of changes.
func author(c *gin.Context) string {
	if name := c.GetHeader(HeaderAuthor); name != "" {
		return name[:min(len(name), maxNameBytes)]
	}
	return "unknown"
}

func (s *Server) serveConfig(c *gin.Context) {
	snapshot := s.Config.Current()
	res := ConfigResponse{Revision: snapshot.Revision}
	for _, change := range snapshot.Changes() {
		res.Documents = append(res.Documents, change.VersionedDocument)
	}
	c.JSON(http.StatusOK, res)
}

// decodeJSON decodes a JSON body and rejects unknown fields. It responds with status 400 and
// returns false if the body is invalid.
func decodeJSON(c *gin.Context, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"reason": "the body is not as expected: " + err.Error()})
		return false
	}
	return true
}

var publishStatus = map[config.PublishOutcome]int{
	config.Published:   http.StatusOK,
	config.Unchanged:   http.StatusOK,
	config.Invalid:     http.StatusBadRequest,
	config.Conflicting: http.StatusConflict,
	config.Unavailable: http.StatusServiceUnavailable,
	config.Unknown:     http.StatusGatewayTimeout,
}

func (s *Server) servePublish(c *gin.Context) {
	var p config.Publication
	if !decodeJSON(c, maxPublishBytes, &p) {
		return
	}
	p.Author = author(c)
	res := s.Publish(c.Request.Context(), p)
	c.JSON(publishStatus[res.Outcome], res)
}

var replyStatus = map[string]int{
	sched.ReplyAccepted: http.StatusOK,
	sched.ReplyExists:   http.StatusOK,
	sched.ReplyRefused:  http.StatusServiceUnavailable,
	sched.ReplyNotFound: http.StatusNotFound,
	sched.ReplyUnknown:  http.StatusGatewayTimeout,
}

func sendReply(c *gin.Context, r sched.Reply) {
	c.JSON(replyStatus[r.Outcome], r)
}

func (s *Server) serveSubmit(c *gin.Context) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, config.MaxDocumentBytes))
	if err != nil {
		c.JSON(http.StatusRequestEntityTooLarge, gin.H{"reason": "the job is too large"})
		return
	}
	doc, violations := config.Parse("job", text)
	if len(violations) == 0 && !config.IsJobKind(doc.Kind) {
		violations = []config.Violation{{File: "job", Field: "kind", Value: doc.Kind, Allowed: "service, batch or all_at_once"}}
	}
	if len(violations) > 0 {
		c.JSON(http.StatusBadRequest, gin.H{"outcome": sched.ReplyRefused, "faults": violations})
		return
	}
	var j config.Job
	if err := json.Unmarshal(text, &j); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"reason": err.Error()})
		return
	}
	sendReply(c, s.SubmitJob(c.Request.Context(), j.WithDefaults(), author(c)))
}

func (s *Server) serveCancel(c *gin.Context) {
	sendReply(c, s.CancelJob(c.Request.Context(), c.Param("name"), author(c)))
}

func (s *Server) serveJob(c *gin.Context) {
	sendReply(c, s.DescribeJob(c.Request.Context(), c.Param("name")))
}

func (s *Server) serveStatus(c *gin.Context) {
	c.JSON(http.StatusOK, s.Status(c.Request.Context()))
}

func (s *Server) serveEvents(c *gin.Context) {
	filter := event.Filter{
		Job:      c.Query("job"),
		Request:  c.Query("request"),
		Worker:   c.Query("worker"),
		Instance: c.Query("instance"),
		Backend:  c.Query("backend"),
		Kind:     c.Query("kind"),
	}
	events := s.Events(c.Request.Context(), filter)
	if c.Query("format") != "chrome" {
		c.JSON(http.StatusOK, gin.H{"events": events})
		return
	}
	c.Header("Content-Type", "application/json")
	if err := event.WriteChromeTrace(c.Writer, events); err != nil {
		_ = c.Error(err)
	}
}
