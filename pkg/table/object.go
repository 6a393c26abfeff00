package table

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, b []byte) error {
	path := objectPath(name)
	status, respBody, err := c.call(ctx, http.MethodPut, path, b)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return statusError(status, http.MethodPut, path, respBody)
	}
	return nil
}

// GetObject reads an object. It returns false if the object does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	path := objectPath(name)
	status, respBody, err := c.call(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return nil, false, err
	case status == http.StatusOK:
		return respBody, true, nil
	case status == http.StatusNotFound:
		return nil, false, nil
	}
	return nil, false, statusError(status, http.MethodGet, path, respBody)
}

// DeleteObject deletes an object. It is not an error if the object does not exist.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	path := objectPath(name)
	status, respBody, err := c.call(ctx, http.MethodDelete, path, nil)
	if err != nil {
		return err
	}
	if status/100 != 2 && status != http.StatusNotFound {
		return statusError(status, http.MethodDelete, path, respBody)
	}
	return nil
}

// objectPath escapes each segment of a name and keeps the slashes between them.
func objectPath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}
