package relay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxTextBytes limits a decompressed text; callers' requests are smaller.
const maxTextBytes = 1 << 20

// compressText compresses the text of a job. On a small network link the texts of starts take most of
// the owner's bandwidth. Only the Huffman coding of DEFLATE is used, which needs little processor time.
func compressText(text string) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.HuffmanOnly)
	if err != nil {
		return nil, errors.Wrap(err, "relay: unable to compress text")
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, errors.Wrap(err, "relay: unable to compress text")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "relay: unable to compress text")
	}
	return b.Bytes(), nil
}

func decompressText(compressed []byte) (string, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTextBytes+1))
	if err != nil {
		return "", errors.Wrap(err, "relay: unable to decompress text")
	}
	if len(text) > maxTextBytes {
		return "", errors.Newf("relay: text is longer than %d bytes", maxTextBytes)
	}
	return string(text), nil
}

// textWindowSize is the number of texts of jobs that a relay keeps for each stream.
const textWindowSize = 256

// maxBatchTexts limits the texts that one batch adds to the window.
const maxBatchTexts = textWindowSize / 2

// textWindow holds the last textWindowSize texts sent on one stream, numbered in the order of
// sending. Both ends of the stream keep one, so that a text crosses it once for all tasks of a job.
type textWindow struct {
	texts   [textWindowSize]string
	numbers map[string]int64
	next    int64
}

// add adds a text and returns its number.
func (w *textWindow) add(text string) int64 {
	if w.numbers == nil {
		w.numbers = make(map[string]int64)
	}
	slot := &w.texts[w.next%textWindowSize]
	if n, ok := w.numbers[*slot]; ok && n == w.next-textWindowSize {
		delete(w.numbers, *slot)
	}
	*slot = text
	w.numbers[text] = w.next
	w.next++
	return w.next - 1
}

// find returns the number of a text that stays in the window while the next batch adds its texts.
func (w *textWindow) find(text string) (int64, bool) {
	n, ok := w.numbers[text]
	return n, ok && n >= w.next-textWindowSize+maxBatchTexts
}

// get returns the text with a number.
func (w *textWindow) get(n int64) (string, bool) {
	if n < 0 || n >= w.next || n < w.next-textWindowSize {
		return "", false
	}
	return w.texts[n%textWindowSize], true
}
