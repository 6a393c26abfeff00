package front

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Handler returns the HTTP API.
func (f *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.HandleMethodNotAllowed = true

	v1 := engine.Group("/v1")
	v1.POST("/requests/:route", f.serveRequest)
	v1.GET("/config", f.serveConfig)
	v1.GET("/status", f.serveStatus)
	v1.GET("/events", f.serveEvents)
	v1.GET("/jobs/:name", f.serveJob)

	changes := v1.Group("", f.authorize)
	changes.POST("/publish", f.servePublish)
	changes.POST("/jobs", f.serveSubmit)
	changes.DELETE("/jobs/:name", f.serveCancel)

	engine.GET("/metrics", f.serveMetrics)
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", f.serveReady)
	return engine
}

func (f *Server) serveReady(c *gin.Context) {
	if reason := f.NotReadyReason(); reason != "" {
		c.String(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
