/**
 * An HTTP client based on Undertow.
 */
package org.wisteriapost.protocol.http;
