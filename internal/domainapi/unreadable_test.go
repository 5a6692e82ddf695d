package domainapi

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against workers that get another payload than the caller sent.
var _ = DescribeTable("a job that cannot be read in full is refused", func(body string) {
	_, findings := decodeJob([]byte(body))
	Expect(findings).NotTo(BeEmpty())
},
	Entry("a payload with bytes that are no text", "{\"payload\":\"a\xffb\",\"steps\":[{\"count\":1}]}"),
	Entry("a payload with half a surrogate pair", `{"payload":"a\ud800b","steps":[{"count":1}]}`),
	Entry("a payload that is null", `{"payload":null,"steps":[{"count":1}]}`),
	Entry("a payload given twice", `{"payload":"a","payload":"b","steps":[{"count":1}]}`),
	Entry("a payload under another name", `{"PAYLOAD":"b","steps":[{"count":1}]}`),
	Entry("gang null", `{"payload":"a","steps":[{"count":1,"gang":null}]}`),
)
