/**
 * The adapters of the provider {@code http}: each outside system as plain HTTP.
 */
package org.wisteriapost.protocol.outside.http;
