package plat

import "net/http"

func (s *Server) putObject(r *http.Request, body []byte) answer {
	name := r.PathValue("name")
	if name == "" || len(name) > maxKeyBytes {
		return problem(http.StatusBadRequest, "object name must have 1 to %d bytes", maxKeyBytes)
	}
	s.objects[name] = body
	return answer{status: http.StatusOK}
}

func (s *Server) object(r *http.Request) answer {
	body, ok := s.objects[r.PathValue("name")]
	if !ok {
		return problem(http.StatusNotFound, "object %q does not exist", r.PathValue("name"))
	}
	return answer{status: http.StatusOK, bytes: body}
}

func (s *Server) deleteObject(r *http.Request, _ []byte) answer {
	name := r.PathValue("name")
	if _, ok := s.objects[name]; !ok {
		return problem(http.StatusNotFound, "object %q does not exist", name)
	}
	delete(s.objects, name)
	return answer{status: http.StatusOK}
}
