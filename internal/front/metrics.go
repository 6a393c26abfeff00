package front

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
)

func (f *Front) serveMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; charset=utf-8")
	f.Metrics(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}
