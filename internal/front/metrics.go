package front

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
)

func (s *Server) serveMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; charset=utf-8")
	s.WriteMetrics(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}
