package table

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// PageRows is the largest number of rows that the platform returns for one read.
	PageRows = 1000

	// scanReadsPerSecond is the share of the read budget that one scan may use.
	scanReadsPerSecond = 200
)

// Rows reads up to limit rows whose key starts with prefix and sorts after the key after. It
// also returns the table's version at the read.
func (c *Client) Rows(ctx context.Context, prefix, after string, limit int) ([]Row, int64, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	path := "/v1/table/rows?" + query.Encode()
	var page struct {
		Rows    []Row `json:"rows"`
		Version int64 `json:"version"`
	}
	found, err := c.read(ctx, path, &page)
	if err != nil {
		return nil, 0, err
	}
	if !found {
		return nil, 0, errors.Newf("table: GET %s answered with status 404", path)
	}
	return page.Rows, page.Version, nil
}

// AllRows reads every row whose key starts with prefix, page by page. The pages are no common
// snapshot: the version is that of the first page, and later changes may be included.
func (c *Client) AllRows(ctx context.Context, prefix string) ([]Row, int64, error) {
	pace := rate.NewLimiter(rate.Every(time.Second/scanReadsPerSecond), 1)
	var rows []Row
	version := int64(-1)
	after := ""
	for {
		if err := pace.Wait(ctx); err != nil {
			return nil, 0, errors.Wrapf(err, "table: unable to scan %q", prefix)
		}
		page, pageVersion, err := c.Rows(ctx, prefix, after, PageRows)
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = pageVersion
		}
		if len(page) == 0 {
			return rows, version, nil
		}
		last := page[len(page)-1].Key
		if last <= after {
			return nil, 0, errors.Newf("table: scan of %q does not advance after key %q", prefix, after)
		}
		rows = append(rows, page...)
		if len(page) < PageRows {
			return rows, version, nil
		}
		after = last
	}
}
