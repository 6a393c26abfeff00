package front

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.HandleMethodNotAllowed = true

	v1 := engine.Group("/v1")
	v1.POST("/requests/:route", s.serveRequest)
	v1.GET("/config", s.serveConfig)
	v1.GET("/status", s.serveStatus)
	v1.GET("/events", s.serveEvents)
	v1.GET("/jobs/:name", s.serveJob)

	operatorRoutes := v1.Group("", s.authorize)
	operatorRoutes.POST("/publish", s.servePublish)
	operatorRoutes.POST("/jobs", s.serveSubmit)
	operatorRoutes.DELETE("/jobs/:name", s.serveCancel)

	engine.GET("/metrics", s.serveMetrics)
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.serveReady)
	return engine
}

func (s *Server) serveReady(c *gin.Context) {
	if reason := s.NotReadyReason(); reason != "" {
		c.String(http.StatusServiceUnavailable, reason+"\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
