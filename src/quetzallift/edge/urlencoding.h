#pragma once

#include <string>
#include <string_view>

namespace Quetzallift
{
// Percent-encodes all bytes except unreserved characters (RFC 3986, section 2.3), for one segment of a path or one value of a
// query. The segments "." and ".." are encoded too, since clients would remove them from a path.
std::string encodeUrlComponent(std::string_view text);

// Decodes percent-encoded bytes.
std::string decodeUrlComponent(std::string_view text);
}
