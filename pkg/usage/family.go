package usage

import "strings"

// Family returns the name of a job without its trailing digits and separators, so that
// repeated runs of the same work share one estimate: "report-2026-12-04" becomes "report".
// A name that consists only of digits and separators is returned unchanged.
func Family(job string) string {
	short := strings.TrimRight(job, "0123456789-_.")
	if short == "" {
		return job
	}
	return short
}
