package plat

import "net/http"

func (s *Server) putObject(r *http.Request, body []byte) reply {
	name := r.PathValue("name")
	if name == "" || len(name) > maxKeyBytes {
		return errorReply(http.StatusBadRequest, "object name must have 1 to %d bytes", maxKeyBytes)
	}
	s.objects[name] = body
	return reply{status: http.StatusOK}
}

func (s *Server) getObject(r *http.Request) reply {
	body, ok := s.objects[r.PathValue("name")]
	if !ok {
		return errorReply(http.StatusNotFound, "object %q does not exist", r.PathValue("name"))
	}
	return reply{status: http.StatusOK, bytes: body}
}

func (s *Server) deleteObject(r *http.Request, _ []byte) reply {
	name := r.PathValue("name")
	if _, ok := s.objects[name]; !ok {
		return errorReply(http.StatusNotFound, "object %q does not exist", name)
	}
	delete(s.objects, name)
	return reply{status: http.StatusOK}
}
