package front

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
)

// MetricsWriter takes the text of the metrics page.
type MetricsWriter = io.Writer

func (f *Front) serveMetrics(c *gin.Context) {
	c.Header("Content-Type", "text/plain; charset=utf-8")
	f.Metrics(c.Writer)
	metrics.WriteProcessMetrics(c.Writer)
}
